package org.chalkhollow.settings

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull

/**
 * A JSON element of the file [source] that knows its [path], so that an error can name the field. Every function throws
 * [InvalidSettingsException] when the element is not of the form asked for.
 */
internal class JsonField(private val element: JsonElement, private val path: String, private val source: String) {
    /** The field [name] of this object, which must be there and not null. */
    fun required(name: String): JsonField =
        optional(name) ?: throw InvalidSettingsException("$source: field ${join(name)} is missing")

    /** The field [name] of this object; null when it is missing or null. */
    fun optional(name: String): JsonField? {
        val map = element as? JsonObject ?: fail("is not an object")
        val child = map[name]?.takeIf { it !is JsonNull } ?: return null
        return JsonField(child, join(name), source)
    }

    /** The elements of this list. */
    fun items(): List<JsonField> {
        val items = element as? JsonArray ?: fail("is not a list")
        return items.mapIndexed { i, item -> JsonField(item, "$path[$i]", source) }
    }

    /** Text that is not empty. */
    fun text(): String {
        val primitive = element as? JsonPrimitive
        if (primitive == null || !primitive.isString || primitive.content.isEmpty()) fail("is not text")
        return primitive.content
    }

    /** A finite number from [min] to [max]. */
    fun number(min: Double, max: Double): Double {
        val primitive = element as? JsonPrimitive
        val value = if (primitive == null || primitive.isString) null else primitive.doubleOrNull
        if (value == null || !value.isFinite()) fail("is not a number")
        if (value < min || value > max) fail("is out of range ($min to $max)")
        return value
    }

    /** An address as `host:port`. */
    fun address(): Address {
        val text = text()
        val colon = text.lastIndexOf(':')
        val port = if (colon > 0) text.substring(colon + 1).toIntOrNull() else null
        if (port == null || port !in Address.PORTS) fail("is not host:port")
        return Address(text.substring(0, colon), port)
    }

    /** Throws an error that says [why] this field cannot be used. */
    fun fail(why: String): Nothing = throw InvalidSettingsException("$source: field ${path.ifEmpty { "(root)" }} $why")

    private fun join(name: String) = if (path.isEmpty()) name else "$path.$name"
}
