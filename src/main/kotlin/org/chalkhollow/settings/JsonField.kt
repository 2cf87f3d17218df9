package org.chalkhollow.settings

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull

/**
 * A JSON element of the file [source] and its [path] in it, which error messages contain. Every function throws
 * [InvalidSettingsException] if the element does not have the requested form.
 */
internal class JsonField(private val element: JsonElement, private val path: String, private val source: String) {
    /** The field [name] of this object, which must be present and not null. */
    fun required(name: String): JsonField =
        optional(name) ?: throw InvalidSettingsException("$source: field ${join(name)} is missing")

    /** The field [name] of this object; null if it is missing or null. */
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

    /** A non-empty string. */
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

    /** Throws the error that this field is invalid, for [reason]. */
    fun fail(reason: String): Nothing =
        throw InvalidSettingsException("$source: field ${path.ifEmpty { "(root)" }} $reason")

    private fun join(name: String) = if (path.isEmpty()) name else "$path.$name"
}
