package org.chalkhollow.core.storage

import org.chalkhollow.core.common.StateOp

/** A transaction of [writes] from its first sending at [firstSentAt] until its outcome is known. */
internal class Transaction(val writes: List<Write>, val commit: StateOp.Commit, val firstSentAt: Long) {
    /** How many changes it has, that of the leadership record counted. */
    val size: Int get() = commit.changes.size

    /** Whether some sending had no answer, so that it may have been applied. */
    var uncertain = false

    /** How often in a row it was not executed for want of service or rate. */
    var unavailableCount = 0
}
