package org.chalkhollow.core.jobs

import org.chalkhollow.core.storage.StateWriter
import org.chalkhollow.core.storage.TransactionBudget
import org.chalkhollow.core.storage.Write
import org.chalkhollow.model.Change

/**
 * Owns the deletion of stored keys that are no longer needed: progress pages of jobs that are done or cancelled.
 * Deletions come after all other writes; only those that the state service rejected are retried among the
 * [UrgentWrites]. Filled by [JobTable] and [CompletionWriter], emptied by the [StateWriter].
 */
class KeyGarbageCollector(private val urgentWrites: UrgentWrites) {
    private val deletions = ArrayDeque<Write>()

    fun clear() = deletions.clear()

    fun collect(key: String) {
        deletions.add(deletion(key))
    }

    fun next(budget: TransactionBudget): Write? {
        val write = deletions.firstOrNull() ?: return null
        return if (write.fits(budget)) deletions.removeFirst() else null
    }

    private fun deletion(key: String): Write =
        Write(listOf(Change(key, null)), onRejected = { urgentWrites.retryLater(deletion(key)) }) {}
}
