package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.Machine

/** Events of attempts, published by [AttemptReconciler]. */
interface AttemptEvents {
    /** One of the attempts that [marker] lists needs it no more. */
    fun onMarkerReleased(marker: DispatchMarker)

    /** [machine] has attempts whose dispatch markers have just become durable, so they may be started. */
    fun onStartsReady(machine: Machine)

    /** [machine] has started an attempt as this leader commanded: our commands reach it. */
    fun onStartObserved(machine: Machine)

    /** Ignores all events. */
    object None : AttemptEvents {
        override fun onMarkerReleased(marker: DispatchMarker) = Unit

        override fun onStartsReady(machine: Machine) = Unit

        override fun onStartObserved(machine: Machine) = Unit
    }
}
