package org.chalkhollow.runtime

import org.chalkhollow.model.HttpStatus

/** A response to a request. [retryAfterS] is the `Retry-After` header in seconds; 0 omits it. */
class HttpResponse(
    val status: Int,
    val body: ByteArray?,
    val retryAfterS: Int = 0,
    val contentType: String = HttpWriter.MESSAGE_PACK,
) {
    /**
     * Whether [other] has the same encoding. Compares bodies only by reference, so false is possible for equal ones.
     */
    internal fun hasSameContent(other: HttpResponse): Boolean =
        body === other.body && status == other.status && retryAfterS == other.retryAfterS &&
            contentType == other.contentType
}

/**
 * Encodes requests and responses. Keeps the last encoded response, because responses to heartbeats without commands are
 * identical.
 */
internal object HttpWriter {
    const val MESSAGE_PACK = "application/msgpack"
    private val EMPTY = ByteArray(0)
    private var lastEncoded: EncodedResponse? = null

    private class EncodedResponse(val response: HttpResponse, val bytes: ByteArray)

    private val reasonPhrases =
        mapOf(
            HttpStatus.OK to "OK",
            HttpStatus.CREATED to "Created",
            HttpStatus.BAD_REQUEST to "Bad Request",
            HttpStatus.NOT_FOUND to "Not Found",
            HttpStatus.METHOD_NOT_ALLOWED to "Method Not Allowed",
            HttpStatus.CONTENT_TOO_LARGE to "Content Too Large",
            HttpStatus.MISDIRECTED to "Misdirected Request",
            HttpStatus.UNPROCESSABLE to "Unprocessable Content",
            HttpStatus.UNAVAILABLE to "Service Unavailable",
        )

    /** Encodes a request; [body] is MessagePack, or null for none. */
    fun request(method: String, host: String, path: String, body: ByteArray?): ByteArray {
        val head = StringBuilder()
        head.append("$method $path HTTP/1.1$CRLF")
        head.append("Host: $host$CRLF")
        if (body != null) head.append("Content-Type: $MESSAGE_PACK${CRLF}Content-Length: ${body.size}$CRLF")
        return join(head, body ?: EMPTY)
    }

    /** Encodes [response]. The array may be returned again, so callers must not change it. */
    fun response(response: HttpResponse, closesConnection: Boolean): ByteArray {
        if (closesConnection) return encode(response, closesConnection = true)
        lastEncoded?.let { if (response.hasSameContent(it.response)) return it.bytes }
        return encode(response, closesConnection = false).also { lastEncoded = EncodedResponse(response, it) }
    }

    private fun encode(response: HttpResponse, closesConnection: Boolean): ByteArray {
        val body = response.body ?: EMPTY
        val head = StringBuilder()
        head.append("HTTP/1.1 ${response.status} ${reasonPhrases[response.status] ?: "Status"}$CRLF")
        if (body.isNotEmpty()) head.append("Content-Type: ${response.contentType}$CRLF")
        head.append("Content-Length: ${body.size}$CRLF")
        if (response.retryAfterS > 0) head.append("Retry-After: ${response.retryAfterS}$CRLF")
        if (closesConnection) head.append("Connection: close$CRLF")
        return join(head, body)
    }

    private fun join(head: StringBuilder, body: ByteArray): ByteArray =
        head.append(CRLF).toString().encodeToByteArray() + body

    private const val CRLF = "\r\n"
}
