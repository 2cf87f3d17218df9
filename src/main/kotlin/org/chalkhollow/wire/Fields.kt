package org.chalkhollow.wire

/**
 * Strict access to the fields of a decoded map: what is required must be there and of its type, the rest is ignored.
 * Every function throws [MalformedMessageException] that names the field. Those whose name ends in `OrNull` take a
 * field that is missing or null for null.
 */
@JvmInline
value class Fields(val map: Map<String, Any?>) {
    fun text(name: String): String = map[name] as? String ?: invalid(name)

    fun textOrNull(name: String): String? = map[name]?.let { it as? String ?: invalid(name) }

    fun flag(name: String): Boolean = map[name] as? Boolean ?: invalid(name)

    /** A whole number that is not negative. */
    fun long(name: String): Long = longOrNull(name) ?: invalid(name)

    fun longOrNull(name: String): Long? =
        when (val value = map[name]) {
            null -> null
            is Long -> if (value >= 0) value else invalid(name)
            is Double ->
                if (value >= 0 && value < MAX_WHOLE && value == Math.floor(value)) value.toLong() else invalid(name)
            else -> invalid(name)
        }

    /** A finite number. */
    fun number(name: String): Double = numberOrNull(name) ?: invalid(name)

    fun numberOrNull(name: String): Double? =
        when (val value = map[name]) {
            null -> null
            is Double -> if (value.isFinite()) value else invalid(name)
            is Long -> value.toDouble()
            else -> invalid(name)
        }

    /** A number that must be at least [min] and at most [max]. */
    fun amount(name: String, min: Double = 0.0, max: Double = 1e9): Double =
        number(name).also { if (it < min || it > max) invalid(name) }

    fun list(name: String): List<Any?> = map[name] as? List<*> ?: invalid(name)

    /** A list of maps. */
    fun maps(name: String): List<Fields> = list(name).map { of(it, name) }

    /** A list of texts. */
    fun texts(name: String): List<String> = list(name).map { it as? String ?: invalid(name) }

    /** Whether the field is there and not null. */
    fun has(name: String): Boolean = map[name] != null

    companion object {
        /** Below 2^53, up to which doubles hold every whole number. */
        private const val MAX_WHOLE = 9e15

        /** The fields of [value], which must be a map; errors call it [what]. */
        @Suppress("UNCHECKED_CAST") // Pack decodes maps with text keys only
        fun of(value: Any?, what: String): Fields =
            Fields(value as? Map<String, Any?> ?: throw MalformedMessageException("$what is not a map"))

        /** Refuses the message because of the field [name]. */
        internal fun invalid(name: String): Nothing =
            throw MalformedMessageException("field $name is missing or invalid")
    }
}
