package org.chalkhollow.core.attempts

import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change

/**
 * Writes the dispatch markers of one gang, each as a write of its own, so that they may be spread over several
 * transactions. All tasks of a gang start together: [onDispatched] runs when the last marker is durable. If the state
 * service rejects one of them, [onRejected] runs once, and those that are durable by then list attempts that are never
 * started. Created by [DispatchLog].
 */
internal class GangDispatch(
    changes: List<Change>,
    private val onDispatched: () -> Unit,
    private val onRejected: (GangDispatch) -> Unit,
) {
    private var unwritten = changes.size
    private var rejected = false

    val writes: List<Write> =
        changes.map {
            Write(listOf(it), onRejected = ::onMarkerRejected, onDurable = ::onMarkerDurable)
        }

    private fun onMarkerDurable() {
        unwritten--
        if (unwritten == 0) onDispatched()
    }

    private fun onMarkerRejected() {
        if (rejected) return
        rejected = true
        onRejected(this)
    }
}
