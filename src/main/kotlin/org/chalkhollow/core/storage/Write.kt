package org.chalkhollow.core.storage

import org.chalkhollow.model.Change

/**
 * Changes that belong into one transaction, and what to do once they are durable, or once the state service has refused
 * them although they came alone: a hint is dropped, and what must not be lost is given again later by its producer.
 */
class Write(val changes: List<Change>, val onRejected: () -> Unit, val onDurable: () -> Unit)

/** Gives writes when asked, until it has none or none that fits; each takes at most what the budget has left. */
fun interface WriteProducer {
    fun next(budget: TransactionBudget): Write?
}

/** What is left in the transaction being put together: [ops] changes of [bytes] in all. */
class TransactionBudget(var ops: Int, var bytes: Int)
