package org.chalkhollow.core.cluster

import org.chalkhollow.model.Resources

/**
 * Owns what the attempts that may be on one machine occupy. It is kept as sums, since placement rounds read it of every
 * machine. `AttemptReconciler` calls it as attempts are reserved and found gone.
 */
class ResourceUsage {
    private var cpus = 0.0
    private var gpus = 0.0
    private var memoryGb = 0.0
    private var attempts = 0

    val isEmpty: Boolean get() = attempts == 0

    /** An attempt of this size may be on the machine from now on. */
    fun allocate(taskResources: Resources) {
        attempts++
        cpus += taskResources.cpus
        gpus += taskResources.gpus
        memoryGb += taskResources.memoryGb
    }

    /** An attempt that was counted is certainly gone. */
    fun release(taskResources: Resources) {
        if (--attempts == 0) {
            cpus = 0.0 // no rounding errors add up
            gpus = 0.0
            memoryGb = 0.0
            return
        }
        cpus -= taskResources.cpus
        gpus -= taskResources.gpus
        memoryGb -= taskResources.memoryGb
    }

    /** What is left of [capacity]. */
    fun freeOf(capacity: Resources): Resources =
        if (isEmpty) capacity else Resources(capacity.cpus - cpus, capacity.gpus - gpus, capacity.memoryGb - memoryGb)
}
