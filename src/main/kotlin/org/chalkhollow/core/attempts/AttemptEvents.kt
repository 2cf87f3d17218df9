package org.chalkhollow.core.attempts

import org.chalkhollow.core.cluster.DispatchMarker
import org.chalkhollow.core.cluster.Machine

/** Events of attempts, published by [AttemptReconciler]. */
interface AttemptEvents {
    /** An attempt that [marker] lists no longer needs the marker. */
    fun onMarkerReleased(marker: DispatchMarker)

    /** Dispatch markers of attempts on [machine] have become durable, so the attempts may be started. */
    fun onStartsReady(machine: Machine)

    /** [machine] has started an attempt as this leader commanded, so this leader's messages reach the machine. */
    fun onStartObserved(machine: Machine)

    /** Ignores all events. */
    object None : AttemptEvents {
        override fun onMarkerReleased(marker: DispatchMarker) = Unit

        override fun onStartsReady(machine: Machine) = Unit

        override fun onStartObserved(machine: Machine) = Unit
    }
}
