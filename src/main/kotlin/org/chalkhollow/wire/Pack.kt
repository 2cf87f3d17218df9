package org.chalkhollow.wire

import org.msgpack.core.MessageFormat
import org.msgpack.core.MessagePack
import org.msgpack.core.MessagePackException
import org.msgpack.core.MessagePacker
import org.msgpack.core.MessageUnpacker
import org.msgpack.value.ValueType
import java.io.IOException

/**
 * MessagePack bodies as plain maps, lists, text, numbers, booleans and null.
 *
 * This package is the edge to the protocols of users, workers, the state service and the cloud. Their field names have
 * themes of their own (`tenure`, `mandate`, `standby`); the codecs here translate them to the terms of `model` (epoch,
 * fencing token, spot), once and in both directions. No other package spells the names of the protocol. The two
 * exceptions are those of messages that other controllers and stored records keep, which are the serial names of
 * the types in `peer` and the keys of the records in `core`.
 */
object Pack {
    private const val MAX_DEPTH = 16

    // A header can claim any size; what is set aside for it in advance is bounded.
    private const val MAX_LIST_RESERVE = 1024
    private const val MAX_MAP_RESERVE = 64

    /** Encodes a value made of maps keyed by text, lists, text, numbers, booleans and null. */
    fun encode(value: Any?): ByteArray {
        val packer = MessagePack.newDefaultBufferPacker()
        packer.put(value)
        return packer.toByteArray()
    }

    /** Decodes exactly one value; throws [MalformedMessageException] for anything else, or anything binary. */
    fun decode(bytes: ByteArray): Any? = read(bytes, 0, bytes.size) { it.take(0) }

    /** Decodes a body that must be a map keyed by text; throws [MalformedMessageException]. */
    fun decodeMap(bytes: ByteArray): Fields = Fields.of(decode(bytes), "body")

    /** Reads exactly one value from part of [bytes] by [take]; throws [MalformedMessageException]. */
    internal inline fun <T> read(bytes: ByteArray, from: Int, size: Int, take: (MessageUnpacker) -> T): T {
        try {
            val unpacker = MessagePack.newDefaultUnpacker(bytes, from, size)
            return take(unpacker).also { requireEnd(unpacker) }
        } catch (e: MessagePackException) {
            throw MalformedMessageException("not MessagePack", e)
        } catch (e: IOException) {
            throw MalformedMessageException("cut short", e)
        }
    }

    internal fun requireEnd(unpacker: MessageUnpacker) {
        if (unpacker.hasNext()) throw MalformedMessageException("trailing bytes")
    }

    private fun MessagePacker.put(value: Any?) {
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
                    put(item)
                }
            }
            is List<*> -> {
                packArrayHeader(value.size)
                for (item in value) put(item)
            }
            else -> throw IllegalArgumentException("cannot pack ${value::class.java.name}")
        }
    }

    /** The next value, which is [depth] containers deep. */
    internal fun MessageUnpacker.take(depth: Int): Any? {
        if (depth > MAX_DEPTH) throw MalformedMessageException("nested too deeply")
        return when (nextFormat.valueType) {
            ValueType.NIL -> {
                unpackNil()
                null
            }
            ValueType.BOOLEAN -> unpackBoolean()
            ValueType.INTEGER -> takeInteger()
            ValueType.FLOAT -> unpackDouble()
            ValueType.STRING -> unpackString()
            ValueType.ARRAY -> takeList(depth)
            ValueType.MAP -> takeMap(depth)
            else -> throw MalformedMessageException("binary data")
        }
    }

    private fun MessageUnpacker.takeList(depth: Int): List<Any?> {
        val size = unpackArrayHeader()
        val list = ArrayList<Any?>(minOf(size, MAX_LIST_RESERVE))
        repeat(size) { list.add(take(depth + 1)) }
        return list
    }

    private fun MessageUnpacker.takeMap(depth: Int): Map<String, Any?> {
        val size = unpackMapHeader()
        val map = LinkedHashMap<String, Any?>(minOf(size, MAX_MAP_RESERVE) * 2)
        repeat(size) {
            val key = take(depth + 1) as? String ?: throw MalformedMessageException("a key is not text")
            map[key] = take(depth + 1)
        }
        return map
    }

    /** The next integer. Counts up to 2^64 are legal; ours are far smaller, so any larger one becomes the largest. */
    internal fun MessageUnpacker.takeInteger(): Long {
        if (nextFormat != MessageFormat.UINT64) return unpackLong()
        val big = unpackBigInteger()
        return if (big.bitLength() >= Long.SIZE_BITS) Long.MAX_VALUE else big.toLong()
    }
}
