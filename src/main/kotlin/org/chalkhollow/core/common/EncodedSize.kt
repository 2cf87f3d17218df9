package org.chalkhollow.core.common

import org.chalkhollow.model.Change

/**
 * Upper bounds, in bytes, of how large a value is as JSON, by which the state service limits values and transactions.
 * A bound that is too low would make the service refuse a transaction, so each rounds up. Called by all that put
 * values or transactions together.
 */
object EncodedSize {
    /** A key's quotes and colon, the names of a change's fields, and brackets. */
    private const val CHANGE_BYTES = 48
    private const val LONGEST_NUMBER_BYTES = 24

    /** `null` and a comma. */
    private const val NULL_BYTES = 5

    /** Quotes of a string, or brackets of an object or array, and a comma. */
    private const val DELIMITER_BYTES = 3

    /** An escaped character is written as `\u00e9`: so many bytes beside the one that it stands for. */
    private const val ESCAPE_BYTES = 5

    /** The colon and comma of a field in an object. */
    private const val FIELD_BYTES = 2

    /** A change as part of a transaction. */
    fun of(change: Change): Int = CHANGE_BYTES + change.key.length + of(change.value)

    /** A value of strings, numbers, lists and maps. */
    fun of(value: Any?): Int =
        when (value) {
            null -> NULL_BYTES
            is String -> value.length + DELIMITER_BYTES + value.count(::isEscaped) * ESCAPE_BYTES
            is Map<*, *> -> DELIMITER_BYTES + value.entries.sumOf { of(it.key) + of(it.value) + FIELD_BYTES }
            is List<*> -> DELIMITER_BYTES + value.sumOf { of(it) + 1 }
            else -> LONGEST_NUMBER_BYTES
        }

    private fun isEscaped(character: Char): Boolean =
        character < ' ' || character == '"' || character == '\\' || character > '~'
}
