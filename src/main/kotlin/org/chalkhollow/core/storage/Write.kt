package org.chalkhollow.core.storage

import org.chalkhollow.model.Change

/**
 * Changes that are committed in one transaction. [onDurable] runs when they are committed. [onRejected] runs when the
 * state service rejects them in a transaction of their own. The producer then drops them if they are only a hint, and
 * otherwise returns them again later. If the state service does not take all changes at once, [parts] take the place of
 * this write, whose callbacks then never run; without parts the changes are never separated.
 */
class Write(
    val changes: List<Change>,
    val onRejected: () -> Unit,
    val parts: List<Write> = emptyList(),
    val onDurable: () -> Unit,
)

/** Returns the next write that fits into the budget, or null if there is none. */
fun interface WriteProducer {
    fun next(budget: TransactionBudget): Write?
}

/** What a transaction under composition can still take: [ops] changes of [bytes] in total. */
class TransactionBudget(var ops: Int, var bytes: Int)
