package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Machine

/** Events of machines, published by [Fleet] and [MachineTable]. */
interface MachineEvents {
    /** Everything on [machine] is certainly gone: it was deleted, or its lease has expired. */
    fun onMachineGone(machine: Machine)

    /** [machine] began a new epoch; [knewOurFencingToken] tells whether it had shown our token in the one before. */
    fun onNewEpoch(machine: Machine, knewOurFencingToken: Boolean)

    /** Ignores all events. */
    object None : MachineEvents {
        override fun onMachineGone(machine: Machine) = Unit

        override fun onNewEpoch(machine: Machine, knewOurFencingToken: Boolean) = Unit
    }
}
