package org.chalkhollow.core.common

import org.chalkhollow.model.Change

/**
 * Upper bounds of the size of values as JSON, in bytes. The state service limits values and transactions by this size
 * and rejects a transaction that exceeds it, so every bound rounds up. Used wherever values or transactions are built.
 */
object EncodedSize {
    /** Quotes and colon of the key, names of the fields of a change, and brackets. */
    private const val CHANGE_BYTES = 48
    private const val LONGEST_NUMBER_BYTES = 24

    /** `null` and a comma. */
    private const val NULL_BYTES = 5

    /** Quotes of a string or brackets of an object or array, and a comma. */
    private const val DELIMITER_BYTES = 3

    /** Bytes that an escaped character such as `\u00e9` takes in addition to one. */
    private const val ESCAPE_BYTES = 5

    /** Colon and comma of a field in an object. */
    private const val FIELD_BYTES = 2

    /** The size of a change within a transaction. */
    fun of(change: Change): Int = CHANGE_BYTES + change.key.length + of(change.value)

    /** The size of a value that consists of strings, numbers, lists and maps. */
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
