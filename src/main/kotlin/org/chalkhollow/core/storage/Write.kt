package org.chalkhollow.core.storage

import org.chalkhollow.model.Change

/**
 * Changes that must be in one transaction. [onDurable] runs when they are committed. [onRejected] runs when the state
 * service rejects them in a transaction of their own. The producer then drops them if they are only a hint, and
 * otherwise returns them again later.
 */
class Write(val changes: List<Change>, val onRejected: () -> Unit, val onDurable: () -> Unit)

/** Returns the next write that fits into the budget, or null if there is none. */
fun interface WriteProducer {
    fun next(budget: TransactionBudget): Write?
}

/** What a transaction under composition can still take: [ops] changes of [bytes] in total. */
class TransactionBudget(var ops: Int, var bytes: Int)
