package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.Machine
import org.chalkhollow.core.cluster.OpenJob

/** Tasks of one job that a placement round assigns to one machine; [fromCredit] if the job's credit paid for them. */
class Allocation(val job: OpenJob, val machine: Machine, val tasks: IntArray, val fromCredit: Boolean)
