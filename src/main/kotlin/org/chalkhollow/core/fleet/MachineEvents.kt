package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine

/** Events of machines, published by [Fleet] and [MachineTable]. */
interface MachineEvents {
    /** No attempt on [machine] runs any more: it was deleted, or its lease has expired. */
    fun onMachineGone(machine: Machine)

    /**
     * [machine] began a new epoch. [hadSentCurrentFencingToken]: whether a heartbeat before the new epoch carried
     * this leader's fencing token.
     */
    fun onNewEpoch(machine: Machine, hadSentCurrentFencingToken: Boolean)

    /** Ignores all events. */
    object None : MachineEvents {
        override fun onMachineGone(machine: Machine) = Unit

        override fun onNewEpoch(machine: Machine, hadSentCurrentFencingToken: Boolean) = Unit
    }
}
