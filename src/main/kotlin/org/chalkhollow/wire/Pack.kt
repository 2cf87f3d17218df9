package org.chalkhollow.wire

import org.msgpack.core.MessageFormat
import org.msgpack.core.MessagePack
import org.msgpack.core.MessagePackException
import org.msgpack.core.MessagePacker
import org.msgpack.core.MessageUnpacker
import org.msgpack.value.ValueType
import java.io.IOException

/**
 * Encodes and decodes MessagePack bodies as plain maps, lists, strings, numbers, booleans and null.
 *
 * The codecs in this package translate between the protocols of users, workers, the state service and the cloud and the
 * types in `model`. The protocols use other names, for example `tenure` for the worker epoch, `mandate` for the fencing
 * token and `standby` for spot; only this package contains them. There are two exceptions: the serial names of messages
 * between controllers are in `peer`, and the field names of stored records are in `core`.
 */
object Pack {
    private const val MAX_DEPTH = 16

    // A header can claim any size, so the capacity that is allocated before the items are read is bounded.
    private const val MAX_INITIAL_LIST_CAPACITY = 1024
    private const val MAX_INITIAL_MAP_CAPACITY = 64

    /** Encodes a value that consists of maps with string keys, lists, strings, numbers, booleans and null. */
    fun encode(value: Any?): ByteArray {
        val packer = MessagePack.newDefaultBufferPacker()
        packer.packAny(value)
        return packer.toByteArray()
    }

    /**
     * Decodes exactly one value. Throws [MalformedMessageException] if [bytes] contain anything else, or binary or
     * extension data.
     */
    fun decode(bytes: ByteArray): Any? = read(bytes, 0, bytes.size) { it.unpackAny(0) }

    /** Decodes a body that must be a map with string keys; throws [MalformedMessageException]. */
    fun decodeMap(bytes: ByteArray): Fields = Fields.of(decode(bytes), "body")

    /** Reads exactly one value from [size] bytes at [from] with [unpack]; throws [MalformedMessageException]. */
    internal inline fun <T> read(bytes: ByteArray, from: Int, size: Int, unpack: (MessageUnpacker) -> T): T {
        try {
            val unpacker = MessagePack.newDefaultUnpacker(bytes, from, size)
            return unpack(unpacker).also { requireEnd(unpacker) }
        } catch (e: MessagePackException) {
            throw MalformedMessageException("invalid MessagePack", e)
        } catch (e: IOException) {
            throw MalformedMessageException("truncated MessagePack", e)
        }
    }

    internal fun requireEnd(unpacker: MessageUnpacker) {
        if (unpacker.hasNext()) throw MalformedMessageException("trailing bytes after the value")
    }

    private fun MessagePacker.packAny(value: Any?) {
        when (value) {
            null -> packNil()
            is String -> packString(value)
            is Boolean -> packBoolean(value)
            is Int -> packInt(value)
            is Long -> packLong(value)
            is Double -> packDouble(value)
            is Map<*, *> -> {
                packMapHeader(value.size)
                for ((key, item) in value) {
                    packString(key as String)
                    packAny(item)
                }
            }
            is List<*> -> {
                packArrayHeader(value.size)
                for (item in value) packAny(item)
            }
            else -> throw IllegalArgumentException("cannot pack ${value::class.java.name}")
        }
    }

    /** Unpacks the next value, which is nested in [depth] containers. */
    internal fun MessageUnpacker.unpackAny(depth: Int): Any? {
        if (depth > MAX_DEPTH) throw MalformedMessageException("nested more than $MAX_DEPTH levels deep")
        return when (nextFormat.valueType) {
            ValueType.NIL -> {
                unpackNil()
                null
            }
            ValueType.BOOLEAN -> unpackBoolean()
            ValueType.INTEGER -> unpackInteger()
            ValueType.FLOAT -> unpackDouble()
            ValueType.STRING -> unpackString()
            ValueType.ARRAY -> unpackList(depth)
            ValueType.MAP -> unpackMap(depth)
            else -> throw MalformedMessageException("binary and extension data are not supported")
        }
    }

    private fun MessageUnpacker.unpackList(depth: Int): List<Any?> {
        val size = unpackArrayHeader()
        val list = ArrayList<Any?>(minOf(size, MAX_INITIAL_LIST_CAPACITY))
        repeat(size) { list.add(unpackAny(depth + 1)) }
        return list
    }

    private fun MessageUnpacker.unpackMap(depth: Int): Map<String, Any?> {
        val size = unpackMapHeader()
        val map = LinkedHashMap<String, Any?>(minOf(size, MAX_INITIAL_MAP_CAPACITY) * 2)
        repeat(size) {
            val key = unpackAny(depth + 1) as? String ?: throw MalformedMessageException("map key is not a string")
            map[key] = unpackAny(depth + 1)
        }
        return map
    }

    /**
     * Unpacks the next integer. The protocols allow values below 2^64, but real values are far smaller, so a value that
     * exceeds [Long.MAX_VALUE] is replaced by it.
     */
    internal fun MessageUnpacker.unpackInteger(): Long {
        if (nextFormat != MessageFormat.UINT64) return unpackLong()
        val value = unpackBigInteger()
        return if (value.bitLength() >= Long.SIZE_BITS) Long.MAX_VALUE else value.toLong()
    }
}
