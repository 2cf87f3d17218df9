package org.chalkhollow.runtime

import org.chalkhollow.model.HttpStatus

/** The answer to a request; [retryAfterS] of 0 asks for nothing. */
class HttpReply(
    val status: Int,
    val body: ByteArray?,
    val retryAfterS: Int = 0,
    val type: String = HttpWriter.MESSAGE_PACK,
) {
    /** Whether [other] is encoded to the same bytes, as far as that shows without comparing bodies. */
    internal fun repeats(other: HttpReply): Boolean =
        body === other.body && status == other.status && retryAfterS == other.retryAfterS && type == other.type
}

/**
 * Encodes requests and answers. Answers to heartbeats that carry no commands are all the same and encoded once.
 */
internal object HttpWriter {
    const val MESSAGE_PACK = "application/msgpack"
    private val NOTHING = ByteArray(0)
    private var last: Written? = null

    private class Written(val reply: HttpReply, val bytes: ByteArray)

    private val reasons =
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

    /** A request with the [body], if there is one, as MessagePack. */
    fun request(method: String, host: String, path: String, body: ByteArray?): ByteArray {
        val head = StringBuilder()
        head.append("$method $path HTTP/1.1$END")
        head.append("Host: $host$END")
        if (body != null) head.append("Content-Type: $MESSAGE_PACK${END}Content-Length: ${body.size}$END")
        return message(head, body ?: NOTHING)
    }

    /** [reply] encoded; the array may be returned again and must not be changed. */
    fun response(reply: HttpReply, closes: Boolean): ByteArray {
        if (closes) return write(reply, closes = true)
        last?.let { if (reply.repeats(it.reply)) return it.bytes }
        return write(reply, closes = false).also { last = Written(reply, it) }
    }

    private fun write(reply: HttpReply, closes: Boolean): ByteArray {
        val body = reply.body ?: NOTHING
        val head = StringBuilder()
        head.append("HTTP/1.1 ${reply.status} ${reasons[reply.status] ?: "Status"}$END")
        if (body.isNotEmpty()) head.append("Content-Type: ${reply.type}$END")
        head.append("Content-Length: ${body.size}$END")
        if (reply.retryAfterS > 0) head.append("Retry-After: ${reply.retryAfterS}$END")
        if (closes) head.append("Connection: close$END")
        return message(head, body)
    }

    private fun message(head: StringBuilder, body: ByteArray): ByteArray =
        head.append(END).toString().encodeToByteArray() + body

    private const val END = "\r\n"
}
