package org.chalkhollow.core.fleet

import org.chalkhollow.wire.Fields

/**
 * A run of consecutive names that differ only in a counter at their end: [prefix], then the numbers from [first] to
 * [last] in [digits] digits. The cloud numbers its machines, so thousands of names form a few runs. [StaticMachines]
 * stores names in this form if one value cannot hold them all.
 */
data class NumberedNames(val prefix: String, val digits: Int, val first: Int, val last: Int) {
    val names: List<String> get() = (first..last).map { prefix + it.toString().padStart(digits, '0') }

    private fun isFollowedBy(other: NumberedNames): Boolean =
        prefix == other.prefix && digits == other.digits && last + 1 == other.first

    /** The stored form of the run. */
    fun value(): Map<String, Any?> =
        mapOf("prefix" to prefix, "digits" to digits.toLong(), "first" to first.toLong(), "last" to last.toLong())

    companion object {
        /** No list has more names; a run that claims more was not written by a controller. */
        private const val MAX_NAME_COUNT = 1_000_000
        private const val MAX_DIGIT_COUNT = 9

        /** The run of a stored value; null if it was not written by [value]. */
        fun of(fields: Fields): NumberedNames? {
            val run =
                NumberedNames(
                    fields.text("prefix"),
                    fields.long("digits").toInt(),
                    fields.long("first").toInt(),
                    fields.long("last").toInt(),
                )
            return run.takeIf { it.last - it.first in 0 until MAX_NAME_COUNT }
        }

        /** The runs of [sorted] names; names without a counter are left out. */
        fun of(sorted: List<String>): List<NumberedNames> {
            val runs = ArrayList<NumberedNames>()
            for (name in sorted) {
                val next = ofOne(name) ?: continue
                val previous = runs.lastOrNull()
                if (previous != null && previous.isFollowedBy(next)) {
                    runs[runs.lastIndex] = previous.copy(last = next.last)
                } else {
                    runs.add(next)
                }
            }
            return runs
        }

        private fun ofOne(name: String): NumberedNames? {
            val digits = name.takeLastWhile { it in '0'..'9' }.takeLast(MAX_DIGIT_COUNT)
            val number = digits.toIntOrNull() ?: return null
            return NumberedNames(name.dropLast(digits.length), digits.length, number, number)
        }
    }
}
