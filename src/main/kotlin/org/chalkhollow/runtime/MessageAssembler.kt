package org.chalkhollow.runtime

import io.ktor.http.cio.decodeChunked
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import java.io.IOException
import java.util.Arrays

/** A complete HTTP message. */
class HttpMessage<H : MessageHead>(val head: H, val body: ByteArray)

/** The body of a message exceeds the size limit. */
class BodyTooLargeException : IOException("HTTP message body exceeds the size limit")

/** Assembles the HTTP messages of one connection from the received bytes. A body has at most [maxBodyBytes] bytes. */
internal class MessageAssembler<H : MessageHead>(private val heads: HeadReader<H>, private val maxBodyBytes: Int) {
    private var buffer = EMPTY

    /** The number of received bytes that were not yet returned as part of a message. */
    var bufferedBytes = 0
        private set

    /** The head of the current message, once it is complete. */
    private var head: H? = null

    /** The head of the previous message. Most messages on a connection repeat it. */
    private var lastHead: H? = null

    /** Up to where the buffer holds no end of a head. */
    private var searchedTo = 0

    /** Adds the first [count] bytes of [bytes]. The array may be reused afterwards. */
    fun add(bytes: ByteArray, count: Int) {
        if (bufferedBytes + count > buffer.size) {
            buffer = buffer.copyOf(maxOf(bufferedBytes + count, bufferedBytes * 2, MIN_BUFFER_BYTES))
        }
        bytes.copyInto(buffer, bufferedBytes, 0, count)
        bufferedBytes += count
    }

    /**
     * Returns the next message, or null if it is not complete. Throws [BodyTooLargeException], and `IOException` or an
     * exception of the parser if the bytes are not valid HTTP.
     */
    fun next(): HttpMessage<H>? {
        val head = head ?: readHead() ?: return null
        val body = readBody(head) ?: return null
        this.head = null
        return HttpMessage(head, body)
    }

    private fun readHead(): H? {
        val repeated = lastHead
        if (repeated != null && repeated.isPrefixOf(buffer, bufferedBytes)) return repeated.also { head = it }
        val end = endOfHead()
        if (end < 0) {
            if (bufferedBytes > MAX_HEAD_BYTES) throw IOException("HTTP message head exceeds $MAX_HEAD_BYTES bytes")
            return null
        }
        return heads.read(buffer, end).also {
            head = it
            lastHead = it
        }
    }

    private fun endOfHead(): Int {
        for (end in maxOf(searchedTo, END_OF_HEAD.size)..bufferedBytes) if (hasBytesBefore(end, END_OF_HEAD)) return end
        searchedTo = bufferedBytes
        return -1
    }

    /** Returns the body, or null if it is not complete. Bytes after it stay in the buffer. */
    private fun readBody(head: H): ByteArray? {
        if (head.framing.isChunked) return readChunked(head)
        val length = head.framing.bodyLength ?: throw IOException("invalid Content-Length header")
        if (length > maxBodyBytes) throw BodyTooLargeException()
        val until = head.size + length.toInt()
        if (bufferedBytes < until) return null
        return buffer.copyOfRange(head.size, until).also { consume(until) }
    }

    private fun readChunked(head: H): ByteArray? {
        val body = if (hasLastChunk(head.size)) decodeChunks(buffer.copyOfRange(head.size, bufferedBytes)) else null
        // Twice the limit leaves room for the framing of the chunks, which is small.
        val tooLarge = if (body == null) bufferedBytes - head.size > 2 * maxBodyBytes else body.size > maxBodyBytes
        if (tooLarge) throw BodyTooLargeException()
        if (body != null) consume(bufferedBytes)
        return body
    }

    /** Whether the last chunk, which has length 0, and any trailer after it have arrived. */
    private fun hasLastChunk(from: Int): Boolean {
        if (!hasBytesBefore(bufferedBytes, CRLF)) return false
        var at = from
        while (at < bufferedBytes) {
            val lineEnd = (at until bufferedBytes).firstOrNull { buffer[it] == CRLF[0] } ?: return false
            val length =
                String(buffer, at, lineEnd - at).substringBefore(';').trim().toIntOrNull(HEX_RADIX) ?: return true
            if (length <= 0) return true // the last chunk, or malformed, which the parser detects
            at = lineEnd + CRLF.size + length + CRLF.size
        }
        return false
    }

    /** Returns the content of the chunks in [raw]. */
    private fun decodeChunks(raw: ByteArray): ByteArray {
        val decoded = ByteChannel(autoFlush = true)
        return HeadReader.runWithoutSuspending {
            decodeChunked(ByteReadChannel(raw), decoded)
            decoded.flushAndClose()
            decoded.readRemaining().readByteArray()
        }
    }

    /** Whether the buffer has the bytes [end] right before index [until]. */
    private fun hasBytesBefore(until: Int, end: ByteArray): Boolean =
        until >= end.size && Arrays.equals(buffer, until - end.size, until, end, 0, end.size)

    private fun consume(until: Int) {
        buffer.copyInto(buffer, 0, until, bufferedBytes)
        bufferedBytes -= until
        searchedTo = 0
        if (bufferedBytes == 0 && buffer.size > MAX_KEPT_BUFFER_BYTES) buffer = EMPTY
    }

    private companion object {
        const val MAX_HEAD_BYTES = 16 * 1024

        /** A larger buffer is released when it is empty. */
        const val MAX_KEPT_BUFFER_BYTES = 4 * 1024
        const val MIN_BUFFER_BYTES = 512
        const val HEX_RADIX = 16
        val END_OF_HEAD = "\r\n\r\n".encodeToByteArray()
        val CRLF = "\r\n".encodeToByteArray()
        val EMPTY = ByteArray(0)
    }
}
