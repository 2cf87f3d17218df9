package org.chalkhollow.wire

import org.msgpack.core.MessageFormat
import org.msgpack.core.MessagePack
import org.msgpack.core.MessagePackException
import org.msgpack.core.MessagePacker
import org.msgpack.core.MessageUnpacker
import org.msgpack.value.ValueType

/** A message that does not keep to its protocol; [message] says where. */
class MalformedMessageException(message: String) : Exception(message, null, false, false)

/** MessagePack bodies as plain maps, lists, text, numbers, booleans and null. */
object Pack {
    private const val MAX_DEPTH = 16

    fun encode(value: Any?): ByteArray {
        val packer = MessagePack.newDefaultBufferPacker()
        packer.put(value)
        return packer.toByteArray()
    }

    /** Decodes exactly one value; anything else, or anything binary, is [MalformedMessageException]. */
    fun decode(bytes: ByteArray): Any? = read(bytes, 0, bytes.size) { it.take(0) }

    /** Reads exactly one value from part of [bytes] by [take]; what is wrong with it is [MalformedMessageException]. */
    internal inline fun <T> read(bytes: ByteArray, from: Int, size: Int, take: (MessageUnpacker) -> T): T {
        try {
            val unpacker = MessagePack.newDefaultUnpacker(bytes, from, size)
            val value = take(unpacker)
            if (unpacker.hasNext()) throw MalformedMessageException("trailing bytes")
            return value
        } catch (e: MessagePackException) {
            throw MalformedMessageException("not MessagePack")
        } catch (e: java.io.IOException) {
            throw MalformedMessageException("cut short")
        }
    }

    /** Decodes a body that must be a map keyed by text. */
    fun decodeMap(bytes: ByteArray): Fields = Fields.of(decode(bytes), "body")

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
                for ((k, v) in value) {
                    packString(k as String)
                    put(v)
                }
            }
            is List<*> -> {
                packArrayHeader(value.size)
                for (item in value) put(item)
            }
            else -> throw IllegalArgumentException("cannot pack ${value::class.java.name}")
        }
    }

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
            ValueType.ARRAY -> {
                val n = unpackArrayHeader()
                val list = ArrayList<Any?>(minOf(n, 1024))
                repeat(n) { list.add(take(depth + 1)) }
                list
            }
            ValueType.MAP -> {
                val n = unpackMapHeader()
                val map = LinkedHashMap<String, Any?>(minOf(n, 64) * 2)
                repeat(n) {
                    val key = take(depth + 1) as? String ?: throw MalformedMessageException("a key is not text")
                    map[key] = take(depth + 1)
                }
                map
            }
            else -> throw MalformedMessageException("binary data")
        }
    }

    internal fun MessageUnpacker.takeInteger(): Long {
        if (nextFormat != MessageFormat.UINT64) return unpackLong()
        val big = unpackBigInteger()
        // Counts below 2^64 are legal; ours are far smaller, so a larger one is as good as the largest.
        return if (big.bitLength() > 63) Long.MAX_VALUE else big.toLong()
    }
}
