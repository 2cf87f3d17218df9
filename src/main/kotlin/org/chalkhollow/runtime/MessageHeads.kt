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

/** Where the body of a message ends, and whether the connection ends with the message. */
class Framing(
    /** Whether the connection is to be closed after the exchange. */
    val closesConnection: Boolean,
    val isChunked: Boolean,
    /** The length of the body in bytes; null when the header is invalid, or when the body is [isChunked]. */
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

/** The first line of a message and what its headers say of its body. */
sealed class MessageHead(val framing: Framing, private val bytes: ByteArray) {
    /** How many bytes it has, with the empty line that ends it. */
    val size: Int get() = bytes.size

    /** Whether the first [count] of [buffer] begin with this head. */
    fun isPrefixOf(buffer: ByteArray, count: Int): Boolean =
        count >= bytes.size && Arrays.equals(buffer, 0, bytes.size, bytes, 0, bytes.size)
}

/** The head of a request. */
class RequestHead(val method: String, val path: String, framing: Framing, bytes: ByteArray) :
    MessageHead(framing, bytes)

/** The head of a response. */
class ResponseHead(val status: Int, framing: Framing, bytes: ByteArray) : MessageHead(framing, bytes)

/**
 * Reads the heads of messages by Ktor's parser. Workers and services repeat theirs, byte for byte, so those that were
 * read lately are kept and not read again: parsing was the largest part of what a heartbeat costs.
 */
class HeadReader<H : MessageHead> private constructor(private val parse: suspend (ByteArray) -> H) {
    private val cached = HashMap<ByteBuffer, H>()

    /** The head in the first [size] of [bytes], with the empty line that ends it; throws when it is malformed. */
    fun read(bytes: ByteArray, size: Int): H {
        cached[ByteBuffer.wrap(bytes, 0, size)]?.let { return it }
        val copy = bytes.copyOf(size)
        val head = runWithoutSuspending { parse(copy) }
        if (cached.size >= MAX_CACHED_HEADS) cached.clear()
        cached[ByteBuffer.wrap(copy)] = head
        return head
    }

    companion object {
        /** A body's length is part of the head, so there are a few for each number of tasks on a machine. */
        private const val MAX_CACHED_HEADS = 1024

        fun ofRequests(): HeadReader<RequestHead> = HeadReader(::parseRequestHead)

        fun ofResponses(): HeadReader<ResponseHead> = HeadReader(::parseResponseHead)

        private suspend fun parseRequestHead(bytes: ByteArray): RequestHead {
            val request = parseRequest(ByteReadChannel(bytes)) ?: throw IOException("no request")
            val framing = Framing.of(request.headers)
            return RequestHead(request.method.value, request.uri.toString(), framing, bytes).also { request.release() }
        }

        private suspend fun parseResponseHead(bytes: ByteArray): ResponseHead {
            val response = parseResponse(ByteReadChannel(bytes)) ?: throw IOException("no response")
            val framing = Framing.of(response.headers)
            return ResponseHead(response.status, framing, bytes).also { response.release() }
        }

        /** Runs [block], which must not have to wait for anything. */
        internal fun <T> runWithoutSuspending(block: suspend () -> T): T {
            var result: Result<T>? = null
            block.startCoroutine(Continuation(EmptyCoroutineContext) { result = it })
            return checkNotNull(result) { "suspended" }.getOrThrow()
        }
    }
}
