package org.chalkhollow.core.common

import org.chalkhollow.model.Change

/**
 * Estimates, never too low, of how large a value is as JSON, by which the state service counts. Called by all that put
 * values or transactions together.
 */
object EncodedSize {
    /** A key's quotes and colon, the names of a change's fields, and brackets. */
    private const val CHANGE_BYTES = 48
    private const val LONGEST_NUMBER = 24
    private const val NULL_BYTES = 5

    /** Quotes of a text, or brackets of a map or list, and a comma. */
    private const val BRACKETS = 3

    /** What an escaped character takes beside the one that it stands for. */
    private const val ESCAPE_BYTES = 5

    fun of(change: Change): Int = CHANGE_BYTES + change.key.length + of(change.value)

    fun of(value: Any?): Int =
        when (value) {
            null -> NULL_BYTES
            is String -> value.length + BRACKETS + value.count(::escaped) * ESCAPE_BYTES
            is Map<*, *> -> BRACKETS + value.entries.sumOf { of(it.key) + of(it.value) + 2 }
            is List<*> -> BRACKETS + value.sumOf { of(it) + 1 }
            else -> LONGEST_NUMBER
        }

    private fun escaped(it: Char): Boolean = it < ' ' || it == '"' || it == '\\' || it > '~'
}
