package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob

/**
 * Tasks of one job, in ascending order of their indices, that a placement round assigns to one machine; [fromCredit] if
 * the job's credit paid for them.
 */
class Allocation(val job: OpenJob, val machine: Machine, val tasks: IntArray, val fromCredit: Boolean) {
    /** The first [count] of the tasks. */
    fun take(count: Int) = Allocation(job, machine, tasks.copyOf(count), fromCredit)

    /** The tasks after the first [count]. */
    fun drop(count: Int) = Allocation(job, machine, tasks.copyOfRange(count, tasks.size), fromCredit)
}
