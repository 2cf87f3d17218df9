package org.chalkhollow.wire

/**
 * Typed access to the fields of a decoded map. A field that is read must be present and of the requested type; other
 * fields are ignored. Functions throw a [MalformedMessageException] that names the field. Functions whose name ends in
 * `OrNull` return null if the field is missing or null.
 */
@JvmInline
value class Fields(val map: Map<String, Any?>) {
    fun text(name: String): String = map[name] as? String ?: invalid(name)

    fun textOrNull(name: String): String? = map[name]?.let { it as? String ?: invalid(name) }

    fun flag(name: String): Boolean = map[name] as? Boolean ?: invalid(name)

    /** A non-negative integer; floating-point values without a fraction are accepted. */
    fun long(name: String): Long = longOrNull(name) ?: invalid(name)

    fun longOrNull(name: String): Long? =
        when (val value = map[name]) {
            null -> null
            is Long -> if (value >= 0) value else invalid(name)
            is Double ->
                if (value >= 0 && value < MAX_INTEGER && value == Math.floor(value)) value.toLong() else invalid(name)
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

    /** A finite number from [min] to [max]. */
    fun amount(name: String, min: Double = 0.0, max: Double = 1e9): Double =
        number(name).also { if (it < min || it > max) invalid(name) }

    fun list(name: String): List<Any?> = map[name] as? List<*> ?: invalid(name)

    /** A list whose items must be maps. */
    fun maps(name: String): List<Fields> = list(name).map { of(it, name) }

    /** A list whose items must be strings. */
    fun texts(name: String): List<String> = list(name).map { it as? String ?: invalid(name) }

    /** Whether the field is present and not null. */
    fun has(name: String): Boolean = map[name] != null

    companion object {
        /** Below 2^53, because larger doubles cannot represent every integer. */
        private const val MAX_INTEGER = 9e15

        /** The fields of [value], which must be a map; error messages name it [what]. */
        @Suppress("UNCHECKED_CAST") // Pack decodes only maps with string keys
        fun of(value: Any?, what: String): Fields =
            Fields(value as? Map<String, Any?> ?: throw MalformedMessageException("$what is not a map"))

        /** Throws the error for a missing or invalid field [name]. */
        internal fun invalid(name: String): Nothing =
            throw MalformedMessageException("field $name is missing or invalid")
    }
}
