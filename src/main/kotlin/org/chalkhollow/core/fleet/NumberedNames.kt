package org.chalkhollow.core.fleet

import org.chalkhollow.wire.Fields

/**
 * Names that differ in a counter at their end only, without a gap: [prefix], then the numbers from [first] to [last] in
 * [digits] digits. The cloud counts its machines, so thousands of names are a few runs.
 */
data class NumberedNames(val prefix: String, val digits: Int, val first: Int, val last: Int) {
    val names: List<String> get() = (first..last).map { prefix + it.toString().padStart(digits, '0') }

    private fun isFollowedBy(other: NumberedNames): Boolean =
        prefix == other.prefix && digits == other.digits && last + 1 == other.first

    fun value(): Map<String, Any?> =
        mapOf("prefix" to prefix, "digits" to digits.toLong(), "first" to first.toLong(), "last" to last.toLong())

    companion object {
        /** More names than any list has; a run that claims more is not ours. */
        private const val MOST = 1_000_000
        private const val MAX_DIGITS = 9

        fun of(f: Fields): NumberedNames? =
            NumberedNames(f.text("prefix"), f.long("digits").toInt(), f.long("first").toInt(), f.long("last").toInt())
                .takeIf { it.last - it.first in 0 until MOST }

        /** The runs of [sorted] names; names without a counter are in none. */
        fun of(sorted: List<String>): List<NumberedNames> {
            val runs = ArrayList<NumberedNames>()
            for (name in sorted) {
                val one = single(name) ?: continue
                val before = runs.lastOrNull()
                if (before != null && before.isFollowedBy(one)) {
                    runs[runs.lastIndex] = before.copy(last = one.last)
                } else {
                    runs.add(one)
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
