package org.chalkhollow.runtime

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.parseRequest
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteReadChannel
import java.io.IOException
import java.nio.ByteBuffer
import java.util.Arrays
import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.startCoroutine

/** How the body of a message is delimited, and whether the connection ends after the message. */
class Framing(
    /** Whether the connection must be closed after the response. */
    val closesConnection: Boolean,
    val isChunked: Boolean,
    /** In bytes; 0 without a `Content-Length` header, null if that header is invalid or the body is chunked. */
    val bodyLength: Long?,
) {
    internal companion object {
        fun of(headers: HttpHeadersMap): Framing {
            val isChunked = headers["Transfer-Encoding"]?.toString()?.contains("chunked", ignoreCase = true) == true
            return Framing(
                closesConnection = headers["Connection"]?.toString()?.contains("close", ignoreCase = true) == true,
                isChunked = isChunked,
                bodyLength = if (isChunked) null else bodyLength(headers),
            )
        }

        private fun bodyLength(headers: HttpHeadersMap): Long? {
            val text = headers["Content-Length"] ?: return 0L
            return text
                .toString()
                .trim()
                .toLongOrNull()
                ?.takeIf { it >= 0 }
        }
    }
}

/** The start line of a message and what its headers say about its body. [bytes] is the encoded head. */
sealed class MessageHead(val framing: Framing, private val bytes: ByteArray) {
    /** The length of the head in bytes, including the empty line at its end. */
    val size: Int get() = bytes.size

    /** Whether the first [count] bytes of [buffer] start with this head. */
    fun isPrefixOf(buffer: ByteArray, count: Int): Boolean =
        count >= bytes.size && Arrays.equals(buffer, 0, bytes.size, bytes, 0, bytes.size)
}

class RequestHead(val method: String, val path: String, framing: Framing, bytes: ByteArray) :
    MessageHead(framing, bytes)

class ResponseHead(val status: Int, framing: Framing, bytes: ByteArray) : MessageHead(framing, bytes)

/**
 * Reads the heads of messages with Ktor's parser and caches them. Workers and services send the same heads again byte
 * for byte, and parsing was the largest part of the cost of a heartbeat.
 */
class HeadReader<H : MessageHead> private constructor(private val parse: suspend (ByteArray) -> H) {
    private val cached = HashMap<ByteBuffer, H>()

    /**
     * Returns the head in the first [size] bytes of [bytes], which include the empty line at its end. Throws if it is
     * malformed.
     */
    fun read(bytes: ByteArray, size: Int): H {
        cached[ByteBuffer.wrap(bytes, 0, size)]?.let { return it }
        val copy = bytes.copyOf(size)
        val head = runWithoutSuspending { parse(copy) }
        if (cached.size >= MAX_CACHED_HEADS) cached.clear()
        cached[ByteBuffer.wrap(copy)] = head
        return head
    }

    companion object {
        /**
         * Heads contain the length of the body, so there are a few different heads for each number of tasks on a
         * machine. The cache is cleared when it is full.
         */
        private const val MAX_CACHED_HEADS = 1024

        fun ofRequests(): HeadReader<RequestHead> = HeadReader(::parseRequestHead)

        fun ofResponses(): HeadReader<ResponseHead> = HeadReader(::parseResponseHead)

        private suspend fun parseRequestHead(bytes: ByteArray): RequestHead {
            val request = parseRequest(ByteReadChannel(bytes)) ?: throw IOException("HTTP request line is missing")
            val framing = Framing.of(request.headers)
            return RequestHead(request.method.value, request.uri.toString(), framing, bytes).also { request.release() }
        }

        private suspend fun parseResponseHead(bytes: ByteArray): ResponseHead {
            val response = parseResponse(ByteReadChannel(bytes)) ?: throw IOException("HTTP status line is missing")
            val framing = Framing.of(response.headers)
            return ResponseHead(response.status, framing, bytes).also { response.release() }
        }

        /** Runs [block], which must not suspend, to its end. */
        internal fun <T> runWithoutSuspending(block: suspend () -> T): T {
            var result: Result<T>? = null
            block.startCoroutine(Continuation(EmptyCoroutineContext) { result = it })
            return checkNotNull(result) { "parsing suspended although all bytes were available" }.getOrThrow()
        }
    }
}
