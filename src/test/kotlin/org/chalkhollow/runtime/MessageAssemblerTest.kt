package org.chalkhollow.runtime

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Requests must be assembled correctly from bytes that arrive in pieces of any size. */
class MessageAssemblerTest {
    private val headReader = HeadReader.ofRequests()

    private fun newAssembler() = MessageAssembler(headReader, MAX_BODY_BYTES)

    private fun MessageAssembler<RequestHead>.add(text: String) = text.encodeToByteArray().let { add(it, it.size) }

    private fun HttpMessage<RequestHead>.text() = "${head.method} ${head.path} ${body.decodeToString()}"

    @Test
    fun `a request is complete at its last byte, and later bytes belong to the next request`() {
        val bytes = (HEARTBEAT_HEAD + "abc" + "GET /up HTTP/1.1\r\n\r\n").encodeToByteArray()
        val messages = newAssembler()
        val parsed = ArrayList<String>()
        for (i in bytes.indices) {
            messages.add(byteArrayOf(bytes[i]), 1)
            messages.next()?.let { parsed.add("$i ${it.text()}") }
        }
        val last = HEARTBEAT_HEAD.length + 2
        assertEquals(listOf("$last POST /agent/beat abc", "${bytes.size - 1} GET /up "), parsed)
        assertEquals(0, messages.bufferedBytes)
    }

    @Test
    fun `a repeated head is not parsed again, on the same or another connection`() {
        val first = checkNotNull(newAssembler().apply { add(HEARTBEAT_HEAD + "abc") }.next())
        val messages = newAssembler()
        repeat(3) {
            messages.add(HEARTBEAT_HEAD + "xyz")
            assertSame(first.head, messages.next()?.head)
        }
    }

    @Test
    fun `a head that only starts like the previous one is parsed`() {
        val messages = newAssembler()
        messages.add(HEARTBEAT_HEAD + "abc")
        messages.next()
        messages.add(HEARTBEAT_HEAD.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n") + "abc")
        assertTrue(checkNotNull(messages.next()).head.framing.closesConnection)
    }

    @Test
    fun `a chunked body is returned when all chunks have arrived`() {
        val messages = newAssembler()
        messages.add("POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
        assertNull(messages.next())
        messages.add("2\r\nde\r\n0\r\n\r\n")
        assertEquals("POST /work abcde", messages.next()?.text())
    }

    @Test
    fun `messages that are too large or not valid HTTP are rejected without buffering them whole`() {
        assertThrows(BodyTooLargeException::class.java) {
            newAssembler().apply { add("POST /work HTTP/1.1\r\nContent-Length: 101\r\n\r\n") }.next()
        }
        val chunks = newAssembler().apply { add("POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n") }
        assertThrows(BodyTooLargeException::class.java) {
            repeat(100) {
                chunks.add("3\r\nabc\r\n")
                chunks.next()
            }
        }
        val endless = newAssembler()
        assertThrows(java.io.IOException::class.java) {
            repeat(100) {
                endless.add("x".repeat(1000))
                endless.next()
            }
        }
        assertThrows(Exception::class.java) { newAssembler().apply { add("\u0000\u0001 no HTTP\r\n\r\n") }.next() }
        assertThrows(java.io.IOException::class.java) {
            newAssembler().apply { add("POST /work HTTP/1.1\r\nContent-Length: -1\r\n\r\n") }.next()
        }
    }

    private companion object {
        const val MAX_BODY_BYTES = 100
        const val HEARTBEAT_HEAD = "POST /agent/beat HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
    }
}
