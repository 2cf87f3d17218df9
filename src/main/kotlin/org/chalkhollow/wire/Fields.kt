package org.chalkhollow.wire

/**
 * Strict access to the fields of a decoded map: what is required must be there and of its type, the rest is ignored.
 */
@JvmInline
value class Fields(val map: Map<String, Any?>) {
    fun text(name: String): String = map[name] as? String ?: bad(name)

    fun textOrNull(name: String): String? = map[name]?.let { it as? String ?: bad(name) }

    fun flag(name: String): Boolean = map[name] as? Boolean ?: bad(name)

    fun long(name: String): Long = longOrNull(name) ?: bad(name)

    fun longOrNull(name: String): Long? =
        when (val v = map[name]) {
            null -> null
            is Long -> if (v >= 0) v else bad(name)
            is Double -> if (v >= 0 && v < 9e15 && v == Math.floor(v)) v.toLong() else bad(name)
            else -> bad(name)
        }

    fun number(name: String): Double = numberOrNull(name) ?: bad(name)

    fun numberOrNull(name: String): Double? =
        when (val v = map[name]) {
            null -> null
            is Double -> if (v.isFinite()) v else bad(name)
            is Long -> v.toDouble()
            else -> bad(name)
        }

    /** A number that must be at least [least] and at most [most]. */
    fun amount(name: String, least: Double = 0.0, most: Double = 1e9): Double =
        number(name).also { if (it < least || it > most) bad(name) }

    fun list(name: String): List<Any?> = map[name] as? List<*> ?: bad(name)

    fun maps(name: String): List<Fields> = list(name).map { of(it, name) }

    fun texts(name: String): List<String> = list(name).map { it as? String ?: bad(name) }

    fun has(name: String): Boolean = map[name] != null

    private fun bad(name: String): Nothing = throw MalformedMessageException("field $name is missing or invalid")

    companion object {
        @Suppress("UNCHECKED_CAST") // Pack decodes maps with text keys only
        fun of(value: Any?, what: String): Fields =
            Fields(value as? Map<String, Any?> ?: throw MalformedMessageException("$what is not a map"))
    }
}
