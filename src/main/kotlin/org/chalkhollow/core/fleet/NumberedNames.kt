package org.chalkhollow.core.fleet

import org.chalkhollow.wire.Fields

/**
 * A run of names that differ in a counter at their end only, without a gap: [prefix], then the numbers from [first] to
 * [last] in [digits] digits. The cloud counts its machines, so thousands of names are a few runs. [StaticMachines]
 * stores names in this form where a value cannot hold them all.
 */
data class NumberedNames(val prefix: String, val digits: Int, val first: Int, val last: Int) {
    val names: List<String> get() = (first..last).map { prefix + it.toString().padStart(digits, '0') }

    private fun isFollowedBy(other: NumberedNames): Boolean =
        prefix == other.prefix && digits == other.digits && last + 1 == other.first

    /** The form in which it is stored. */
    fun value(): Map<String, Any?> =
        mapOf("prefix" to prefix, "digits" to digits.toLong(), "first" to first.toLong(), "last" to last.toLong())

    companion object {
        /** More names than any list has; a run that claims more is not ours. */
        private const val MAX_NAMES = 1_000_000
        private const val MAX_DIGITS = 9

        /** The run of a stored value; null for one that was not written by [value]. */
        fun of(fields: Fields): NumberedNames? {
            val run =
                NumberedNames(
                    fields.text("prefix"),
                    fields.long("digits").toInt(),
                    fields.long("first").toInt(),
                    fields.long("last").toInt(),
                )
            return run.takeIf { it.last - it.first in 0 until MAX_NAMES }
        }

        /** The runs of [sorted] names; names without a counter are in none. */
        fun of(sorted: List<String>): List<NumberedNames> {
            val runs = ArrayList<NumberedNames>()
            for (name in sorted) {
                val next = single(name) ?: continue
                val previous = runs.lastOrNull()
                if (previous != null && previous.isFollowedBy(next)) {
                    runs[runs.lastIndex] = previous.copy(last = next.last)
                } else {
                    runs.add(next)
                }
            }
            return runs
        }

        private fun single(name: String): NumberedNames? {
            val digits = name.takeLastWhile { it in '0'..'9' }.takeLast(MAX_DIGITS)
            val number = digits.toIntOrNull() ?: return null
            return NumberedNames(name.dropLast(digits.length), digits.length, number, number)
        }
    }
}
