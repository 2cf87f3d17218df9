package org.chalkhollow.core.storage

import org.chalkhollow.core.common.StateOp

/** A transaction of [writes] that was first sent at [firstSentAtMs] and whose outcome is not yet known. */
internal class Transaction(val writes: List<Write>, val commit: StateOp.Commit, val firstSentAtMs: Long) {
    /** Number of changes, including that of the leadership record. */
    val size: Int get() = commit.changes.size

    /** The smallest writes into which it can be split. */
    val parts: List<Write> get() = writes.flatMap { write -> write.parts.ifEmpty { listOf(write) } }

    /** Whether it was sent without getting a reply, so that it may have been applied. */
    var outcomeUnknown = false

    /** How often it was sent but not executed, because the service was unavailable or its rate limit was reached. */
    var unavailableCount = 0
}
