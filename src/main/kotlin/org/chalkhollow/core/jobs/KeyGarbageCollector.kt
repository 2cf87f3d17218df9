package org.chalkhollow.core.jobs

import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change

/**
 * Owns the removal of keys that nobody needs any more: progress pages of jobs that are over. Removals come after all
 * other writes; only what was refused is tried again among the [UrgentWrites]. Filled by [JobTable] and
 * [CompletionWriter], emptied by the [StateWriter].
 */
class KeyGarbageCollector(private val urgentWrites: UrgentWrites) {
    private val removals = ArrayDeque<Write>()

    fun clear() = removals.clear()

    fun collect(key: String) {
        removals.add(removal(key))
    }

    fun next(room: TransactionBudget): Write? {
        val write = removals.firstOrNull() ?: return null
        return if (write.fits(room)) removals.removeFirst() else null
    }

    private fun removal(key: String): Write =
        Write(listOf(Change(key, null)), onRejected = { urgentWrites.retryLater(removal(key)) }) {}
}
