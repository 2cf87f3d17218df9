package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.Machine

/** What [AttemptReconciler] reports of attempts. */
interface AttemptEvents {
    /** One of the attempts that [marker] lists needs it no more. */
    fun onMarkerSettled(marker: DispatchMarker)

    /** [machine] has attempts whose dispatch markers have just become durable, so they may be started. */
    fun onMarkersDurable(machine: Machine)

    /** [machine] has begun an attempt that this leader told it to start: our commands reach it. */
    fun onAttemptBegun(machine: Machine)

    /** For those that need not hear of attempts. */
    object None : AttemptEvents {
        override fun onMarkerSettled(marker: DispatchMarker) = Unit

        override fun onMarkersDurable(machine: Machine) = Unit

        override fun onAttemptBegun(machine: Machine) = Unit
    }
}
