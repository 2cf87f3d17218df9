package org.chalkhollow.core

import org.chalkhollow.model.Resources

/**
 * Owns what placement does for services alone: how many replicas of one a machine should take, so that its loss takes
 * few, and room kept free from other work in every zone, so that a replica that has lost its machine, or a service that
 * has just come, need not wait for a task to end or a machine to boot.
 */
class Replicas(private val jobs: JobTable) {
    private class Largest(val each: Resources, val count: Int, val spotAllowed: Boolean)

    /** The largest service seen of each class. */
    private val largest = HashMap<String, Largest>()

    /** How many replicas of [job] a machine takes as long as others have room. */
    fun mostOn(job: OpenJob): Int = (job.spec.tasks + PARTS - 1) / PARTS

    /** How many replicas of [job] may be on [m] now. */
    fun on(m: Machine, job: OpenJob): Int = m.attempts.count { it.job === job && it.phase != Attempt.Phase.EXITED }

    private val kept = ArrayList<Pair<Machine, Resources>>()

    /** Gives the room that [keepRoom] took off back to the machines. */
    fun giveBack() {
        for ((m, r) in kept) {
            m.left =
                Resources(m.left.cpus + r.cpus, m.left.cards + r.cards, m.left.memoryGb + r.memoryGb)
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
        if (largest.isEmpty()) return 0.0
        val byZone = machines.groupBy { it.zone }
        var cpus = 0.0
        for (l in largest.values) {
            for (some in byZone.values) {
                var need = (l.count + byZone.size - 1) / byZone.size
                for (m in some.sortedBy { it.left.cpus }) {
                    if (need == 0) break
                    if (m.spot && !l.spotAllowed) continue
                    val n = minOf(need, l.each.countIn(m.left), MOST_KEPT)
                    if (n <= 0) continue
                    need -= n
                    cpus += n * l.each.cpus
                    kept.add(m to Resources(n * l.each.cpus, n * l.each.cards, n * l.each.memoryGb))
                    m.left =
                        Resources(
                            m.left.cpus - n * l.each.cpus,
                            m.left.cards - n * l.each.cards,
                            m.left.memoryGb - n * l.each.memoryGb,
                        )
                }
            }
        }
        return cpus
    }

    private fun noteSizes() {
        for (job in jobs.open) {
            if (!job.service) continue
            val before = largest[job.spec.workload]
            if (before != null && before.count >= job.spec.tasks) continue
            if (largest.size < MOST_CLASSES ||
                before != null
            ) {
                largest[job.spec.workload] = Largest(job.each, job.spec.tasks, job.spec.spotAllowed)
            }
        }
    }

    private companion object {
        const val PARTS = 4
        const val MOST_KEPT = 4
        const val MOST_CLASSES = 50
    }
}
