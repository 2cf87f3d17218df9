package org.chalkhollow.runtime

import org.chalkhollow.model.HttpStatus

/** Takes the answer to a request, now or later, and only once. */
fun interface HttpResponder {
    fun answer(reply: HttpReply)
}

/** Handles the requests of one connection, one at a time. */
interface HttpHandler {
    /** What a request serves, which decides whose turn it is while others wait. */
    fun priorityOf(head: RequestHead): TaskPriority

    /** How long the client waits for an answer, in milliseconds: later, nobody has any use for it. */
    fun patienceMs(head: RequestHead): Long

    fun handle(request: HttpMessage<RequestHead>, responder: HttpResponder)
}

/**
 * One connection of the [HttpServer]: queues each request at its priority and sends the answer. Requests are not
 * pipelined; what arrives early waits for its turn. It costs no coroutine, since there are hundreds of connections and
 * the requests of workers are most of what a leader does.
 */
internal class HttpServerConnection(
    private val socket: TcpConnection,
    private val loop: EventLoop,
    heads: HeadReader<RequestHead>,
    private val handler: HttpHandler,
    private val events: Events,
) : TcpConnection.Receiver,
    HttpResponder,
    Runnable {
    interface Events {
        fun onClosed(connection: HttpServerConnection)

        /** A request was not worked on, since its client had gone or waited no more. */
        fun onShed(priority: TaskPriority)
    }

    /** When it last sent something or was answered, by the steady clock in milliseconds. */
    var activeAt = steadyMs()
        private set

    /** Whether a request waits for its turn or for its answer. */
    val handling: Boolean get() = waiting != null
    private val messages = MessageAssembler(heads, MAX_BODY)
    private var waiting: HttpMessage<RequestHead>? = null
    private var arrivedAt = 0L

    fun close() = socket.close()

    override fun onBytes(bytes: ByteArray, size: Int) {
        activeAt = steadyMs()
        messages.add(bytes, size)
        if (handling) {
            if (messages.size > MAX_UNREAD) socket.pauseReading()
        } else {
            takeRequest()
        }
    }

    override fun onEnd() {
        events.onClosed(this)
        socket.close() // the peer's end is only one side of it
    }

    private fun takeRequest() {
        try {
            val request = messages.next() ?: return
            waiting = request
            arrivedAt = activeAt
            loop.submit(handler.priorityOf(request.head), this)
        } catch (expected: BodyTooLargeException) {
            socket.send(HttpWriter.response(HttpReply(HttpStatus.CONTENT_TOO_LARGE, null), closes = true))
            socket.closeAfterSending()
        } catch (expected: Exception) {
            socket.close() // the peer does not speak HTTP; the connection is all there is to clean up
        }
    }

    /** Works on the request that waits, unless nobody waits for its answer any more. */
    override fun run() {
        val request = waiting ?: return
        val waitsNoMore = steadyMs() - arrivedAt > handler.patienceMs(request.head)
        if (!socket.ended && !waitsNoMore) return handler.handle(request, this)
        events.onShed(handler.priorityOf(request.head))
        socket.close()
    }

    override fun answer(reply: HttpReply) {
        val closes = waiting?.head?.framing?.closes ?: return
        waiting = null
        activeAt = steadyMs()
        socket.send(HttpWriter.response(reply, closes))
        if (closes) return socket.closeAfterSending()
        if (messages.size == 0) return
        socket.resumeReading()
        takeRequest()
    }

    private companion object {
        const val MAX_BODY = 64 * 1024
        const val MAX_UNREAD = 128 * 1024
        const val NANOS_PER_MS = 1_000_000

        fun steadyMs(): Long = System.nanoTime() / NANOS_PER_MS
    }
}
