package org.chalkhollow.runtime

import io.ktor.http.cio.decodeChunked
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import java.io.IOException
import java.util.Arrays

/** A message that has arrived in full. */
class HttpMessage<H : MessageHead>(val head: H, val body: ByteArray)

/** A body is larger than the bound for bodies. */
class BodyTooLargeException : IOException("a body is too large")

/** Puts the messages of one connection together from what arrives, in bodies of at most [maxBodyBytes] bytes. */
internal class MessageAssembler<H : MessageHead>(private val heads: HeadReader<H>, private val maxBodyBytes: Int) {
    private var buffer = EMPTY

    /** How much has arrived that no message was made of yet. */
    var bufferedBytes = 0
        private set

    /** The head of the message that arrives, once it is complete. */
    private var head: H? = null

    /** The head of the message before, which is mostly repeated. */
    private var lastHead: H? = null
    private var searchedTo = 0

    /** Adds the first [count] of [bytes], which may change afterwards. */
    fun add(bytes: ByteArray, count: Int) {
        if (bufferedBytes + count >
            buffer.size
        ) {
            buffer = buffer.copyOf(maxOf(bufferedBytes + count, bufferedBytes * 2, MIN_BUFFER_BYTES))
        }
        bytes.copyInto(buffer, bufferedBytes, 0, count)
        bufferedBytes += count
    }

    /**
     * The next message when all of it has arrived, or null. Throws [BodyTooLargeException], and `IOException` or the
     * exceptions of the parser when it is not HTTP.
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
            if (bufferedBytes > MAX_HEAD_BYTES) throw IOException("the head of a message is too long")
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

    /** The body, when all of it is there; what follows it is kept for the next message. */
    private fun readBody(head: H): ByteArray? {
        if (head.framing.isChunked) return readChunked(head)
        val length = head.framing.bodyLength ?: throw IOException("the length of a body is invalid")
        if (length > maxBodyBytes) throw BodyTooLargeException()
        val until = head.size + length.toInt()
        if (bufferedBytes < until) return null
        return buffer.copyOfRange(head.size, until).also { consume(until) }
    }

    private fun readChunked(head: H): ByteArray? {
        val body = if (hasLastChunk(head.size)) decodeChunks(buffer.copyOfRange(head.size, bufferedBytes)) else null
        // Chunks come with little beside what they carry.
        val tooLarge = if (body == null) bufferedBytes - head.size > 2 * maxBodyBytes else body.size > maxBodyBytes
        if (tooLarge) throw BodyTooLargeException()
        if (body != null) consume(bufferedBytes)
        return body
    }

    /** Whether the chunk without content, which comes last, has arrived, with what may follow it. */
    private fun hasLastChunk(from: Int): Boolean {
        if (!hasBytesBefore(bufferedBytes, CRLF)) return false
        var at = from
        while (at < bufferedBytes) {
            val lineEnd = (at until bufferedBytes).firstOrNull { buffer[it] == CRLF[0] } ?: return false
            val length =
                String(buffer, at, lineEnd - at).substringBefore(';').trim().toIntOrNull(HEX_RADIX) ?: return true
            if (length <= 0) return true // the parser judges what is malformed
            at = lineEnd + CRLF.size + length + CRLF.size
        }
        return false
    }

    /** What the chunks in [raw] carry. */
    private fun decodeChunks(raw: ByteArray): ByteArray {
        val decoded = ByteChannel(autoFlush = true)
        return HeadReader.runWithoutSuspending {
            decodeChunked(ByteReadChannel(raw), decoded)
            decoded.flushAndClose()
            decoded.readRemaining().readByteArray()
        }
    }

    /** Whether the bytes right before index [until] of what has arrived are [end]. */
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

        /** A larger buffer is not kept between messages. */
        const val MAX_KEPT_BUFFER_BYTES = 4 * 1024
        const val MIN_BUFFER_BYTES = 512
        const val HEX_RADIX = 16
        val END_OF_HEAD = "\r\n\r\n".encodeToByteArray()
        val CRLF = "\r\n".encodeToByteArray()
        val EMPTY = ByteArray(0)
    }
}
