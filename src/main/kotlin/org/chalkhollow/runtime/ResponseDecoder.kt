package org.chalkhollow.runtime

import org.chalkhollow.wire.MalformedMessageException
import org.chalkhollow.wire.Pack

/** Decodes responses of the services and of workers; [onMalformed] is called for each that is malformed. */
class ResponseDecoder(private val onMalformed: (MalformedMessageException) -> Unit) {
    /** What [decode] makes of a response, or [ifMalformed], which should say that there was no response. */
    inline fun <T> decode(ifMalformed: T, decode: () -> T): T =
        try {
            decode()
        } catch (e: MalformedMessageException) {
            reportMalformed(e)
            ifMalformed
        }

    /** Passes [e] on; public only because [decode] is inlined. */
    fun reportMalformed(e: MalformedMessageException) = onMalformed(e)

    /** The text of an error response, for people. */
    fun errorText(body: ByteArray): String =
        try {
            Pack.decode(body).toString().take(MAX_ERROR_TEXT_CHARS)
        } catch (expected: MalformedMessageException) {
            "no reason given" // the status has said what matters
        }

    private companion object {
        const val MAX_ERROR_TEXT_CHARS = 200
    }
}
