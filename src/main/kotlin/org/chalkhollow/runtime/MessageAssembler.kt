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

/** Puts the messages of one connection together from what arrives, in bodies of at most [maxBody] bytes. */
internal class MessageAssembler<H : MessageHead>(private val heads: HeadReader<H>, private val maxBody: Int) {
    private var received = NOTHING

    /** How much has arrived that no message was made of yet. */
    var size = 0
        private set

    /** The head of the message that arrives, once it is complete. */
    private var head: H? = null

    /** The head of the message before, which is mostly repeated. */
    private var last: H? = null
    private var searchedTo = 0

    /** Adds the first [count] of [bytes], which may change afterwards. */
    fun add(bytes: ByteArray, count: Int) {
        if (size + count > received.size) received = received.copyOf(maxOf(size + count, size * 2, MIN_BUFFER))
        bytes.copyInto(received, size, 0, count)
        size += count
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
        val repeated = last
        if (repeated != null && repeated.begins(received, size)) return repeated.also { head = it }
        val end = endOfHead()
        if (end < 0) {
            if (size > MAX_HEAD) throw IOException("the head of a message is too long")
            return null
        }
        return heads.read(received, end).also {
            head = it
            last = it
        }
    }

    private fun endOfHead(): Int {
        for (end in maxOf(searchedTo, END_OF_HEAD.size)..size) if (hasBefore(end, END_OF_HEAD)) return end
        searchedTo = size
        return -1
    }

    /** The body, when all of it is there; what follows it is kept for the next message. */
    private fun readBody(head: H): ByteArray? {
        if (head.framing.chunked) return readChunked(head)
        val length = head.framing.length ?: throw IOException("the length of a body is invalid")
        if (length > maxBody) throw BodyTooLargeException()
        val until = head.size + length.toInt()
        if (size < until) return null
        return received.copyOfRange(head.size, until).also { consume(until) }
    }

    private fun readChunked(head: H): ByteArray? {
        val body = if (lastChunkIsThere(head.size)) decodeChunks(received.copyOfRange(head.size, size)) else null
        // Chunks come with little beside what they carry.
        val tooLarge = if (body == null) size - head.size > 2 * maxBody else body.size > maxBody
        if (tooLarge) throw BodyTooLargeException()
        if (body != null) consume(size)
        return body
    }

    /** Whether the chunk without content, which comes last, has arrived, with what may follow it. */
    private fun lastChunkIsThere(from: Int): Boolean {
        if (!hasBefore(size, CRLF)) return false
        var at = from
        while (at < size) {
            val lineEnd = (at until size).firstOrNull { received[it] == CRLF[0] } ?: return false
            val length = String(received, at, lineEnd - at).substringBefore(';').trim().toIntOrNull(HEX) ?: return true
            if (length <= 0) return true // the parser judges what is malformed
            at = lineEnd + CRLF.size + length + CRLF.size
        }
        return false
    }

    /** What the chunks in [raw] carry. */
    private fun decodeChunks(raw: ByteArray): ByteArray {
        val decoded = ByteChannel(autoFlush = true)
        return HeadReader.runAtOnce {
            decodeChunked(ByteReadChannel(raw), decoded)
            decoded.flushAndClose()
            decoded.readRemaining().readByteArray()
        }
    }

    /** Whether the bytes right before index [until] of what has arrived are [end]. */
    private fun hasBefore(until: Int, end: ByteArray): Boolean =
        until >= end.size && Arrays.equals(received, until - end.size, until, end, 0, end.size)

    private fun consume(until: Int) {
        received.copyInto(received, 0, until, size)
        size -= until
        searchedTo = 0
        if (size == 0 && received.size > MAX_KEPT) received = NOTHING
    }

    private companion object {
        const val MAX_HEAD = 16 * 1024

        /** A larger buffer is not kept between messages. */
        const val MAX_KEPT = 4 * 1024
        const val MIN_BUFFER = 512
        const val HEX = 16
        val END_OF_HEAD = "\r\n\r\n".encodeToByteArray()
        val CRLF = "\r\n".encodeToByteArray()
        val NOTHING = ByteArray(0)
    }
}
