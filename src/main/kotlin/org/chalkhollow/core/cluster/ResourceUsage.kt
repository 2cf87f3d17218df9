package org.chalkhollow.core.cluster

import org.chalkhollow.model.Resources

/**
 * Owns the resources allocated to the attempts that may be on one machine. Keeps sums, because a placement round reads
 * them for every machine. `AttemptReconciler` calls it when an attempt is reserved, and when it has exited or is
 * resolved.
 */
class ResourceUsage {
    private var cpus = 0.0
    private var gpus = 0.0
    private var memoryGb = 0.0
    private var attempts = 0

    val isEmpty: Boolean get() = attempts == 0

    /** An attempt with this resource demand may be on the machine from now on. */
    fun allocate(taskResources: Resources) {
        attempts++
        cpus += taskResources.cpus
        gpus += taskResources.gpus
        memoryGb += taskResources.memoryGb
    }

    /** An allocated attempt has exited or is confirmed absent. */
    fun release(taskResources: Resources) {
        if (--attempts == 0) {
            cpus = 0.0 // discards accumulated rounding errors
            gpus = 0.0
            memoryGb = 0.0
            return
        }
        cpus -= taskResources.cpus
        gpus -= taskResources.gpus
        memoryGb -= taskResources.memoryGb
    }

    /** The part of [capacity] that is not allocated. */
    fun freeOf(capacity: Resources): Resources =
        if (isEmpty) capacity else Resources(capacity.cpus - cpus, capacity.gpus - gpus, capacity.memoryGb - memoryGb)
}
