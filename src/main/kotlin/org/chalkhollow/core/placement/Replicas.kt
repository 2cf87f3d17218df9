package org.chalkhollow.core.placement

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.core.cluster.Attempt
import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.model.Resources

/**
 * Owns what placement does for services alone: how many replicas of one a machine should take, so that its loss takes
 * few, and room kept free from other work in every zone, so that a replica that has lost its machine, or a service that
 * has just come, need not wait for a task to end or a machine to boot.
 */
class Replicas(private val jobs: JobTable) {
    /** The largest service seen of a class, and the images that its services run. */
    private class ServiceClass(var taskResources: Resources, var count: Int, var spotAllowed: Boolean) {
        val images = IntOpenHashSet()

        fun imagesOn(m: Machine): Int = images.count { it in m.images }
    }

    private val classes = HashMap<String, ServiceClass>()

    /** How many replicas of [job] a machine takes as long as others have room. */
    fun mostOn(job: OpenJob): Int = (job.spec.tasks + PARTS - 1) / PARTS

    /** How many replicas of [job] may be on [m] now. */
    fun on(m: Machine, job: OpenJob): Int = m.attempts.count { it.job === job && it.phase != Attempt.Phase.EXITED }

    private val kept = ArrayList<Pair<Machine, Resources>>()

    /** Gives the room that [keepRoom] took off back to the machines. */
    fun giveBack() {
        for ((m, r) in kept) {
            m.roundRoom =
                Resources(m.roundRoom.cpus + r.cpus, m.roundRoom.gpus + r.gpus, m.roundRoom.memoryGb + r.memoryGb)
        }
        kept.clear()
    }

    /**
     * Takes the room kept for services off what is left of [machines] in this round, and returns how many CPUs that
     * are.
     */
    fun keepRoom(machines: List<Machine>): Double {
        kept.clear()
        noteSizes()
        if (classes.isEmpty()) return 0.0
        val byZone = machines.groupBy { it.zone }
        var cpus = 0.0
        for (its in classes.values) {
            for (some in byZone.values) {
                var need = (its.count + byZone.size - 1) / byZone.size
                // Where their images are kept already, a replica that comes or comes back need not wait for one.
                for (m in some.sortedWith(compareBy({ -its.imagesOn(it) }, { it.roundRoom.cpus }))) {
                    if (need == 0) break
                    if (m.spot && !its.spotAllowed) continue
                    val n = minOf(need, its.taskResources.countIn(m.roundRoom), MAX_KEPT)
                    if (n <= 0) continue
                    need -= n
                    cpus += n * its.taskResources.cpus
                    kept.add(
                        m to
                            Resources(
                                n * its.taskResources.cpus,
                                n * its.taskResources.gpus,
                                n * its.taskResources.memoryGb,
                            ),
                    )
                    m.roundRoom =
                        Resources(
                            m.roundRoom.cpus - n * its.taskResources.cpus,
                            m.roundRoom.gpus - n * its.taskResources.gpus,
                            m.roundRoom.memoryGb - n * its.taskResources.memoryGb,
                        )
                }
            }
        }
        return cpus
    }

    private fun noteSizes() {
        for (job in jobs.open) {
            if (!job.service) continue
            val known = classes[job.spec.workload]
            if (known == null && classes.size >= MAX_CLASSES) continue
            val its =
                known
                    ?: ServiceClass(job.taskResources, 0, job.spec.spotAllowed).also { classes[job.spec.workload] = it }
            if (job.image >= 0 && its.images.size < MAX_IMAGES) its.images.add(job.image)
            if (its.count >= job.spec.tasks) continue
            its.taskResources = job.taskResources
            its.count = job.spec.tasks
            its.spotAllowed = job.spec.spotAllowed
        }
    }

    private companion object {
        const val PARTS = 4
        const val MAX_KEPT = 4
        const val MAX_CLASSES = 50
        const val MAX_IMAGES = 50
    }
}
