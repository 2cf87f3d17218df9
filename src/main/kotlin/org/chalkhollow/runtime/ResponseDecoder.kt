package org.chalkhollow.runtime

import org.chalkhollow.wire.MalformedMessageException
import org.chalkhollow.wire.Pack

/** Decodes replies of the services and of workers. Calls [onMalformed] for each malformed one. */
class ResponseDecoder(private val onMalformed: (MalformedMessageException) -> Unit) {
    /**
     * Returns the result of [decode], or [ifMalformed] if the reply is malformed; it should stand for a missing reply.
     */
    inline fun <T> decode(ifMalformed: T, decode: () -> T): T =
        try {
            decode()
        } catch (e: MalformedMessageException) {
            reportMalformed(e)
            ifMalformed
        }

    /** Reports [e] to the listener. Public only because [decode] is inline. */
    fun reportMalformed(e: MalformedMessageException) = onMalformed(e)

    /** The content of an error reply as text for log lines. */
    fun errorText(body: ByteArray): String =
        try {
            Pack.decode(body).toString().take(MAX_ERROR_TEXT_CHARS)
        } catch (expected: MalformedMessageException) {
            "no reason given" // the status is enough to handle the reply
        }

    private companion object {
        const val MAX_ERROR_TEXT_CHARS = 200
    }
}
