package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob

/** Tasks of one job that a placement round gives to one machine; [fromCredit] to a job that had been passed over. */
class Allocation(val job: OpenJob, val machine: Machine, val tasks: IntArray, val fromCredit: Boolean)
