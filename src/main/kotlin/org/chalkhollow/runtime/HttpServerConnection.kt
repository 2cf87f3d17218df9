package org.chalkhollow.runtime

import org.chalkhollow.model.HttpStatus

/** Takes the answer to a request, now or later, and only once. */
fun interface HttpResponder {
    fun answer(reply: HttpReply)
}

/** Handles the requests of one connection, one at a time. */
interface HttpHandler {
    /** At which priority a request is queued. */
    fun priorityOf(head: RequestHead): TaskPriority

    /** How long the client waits for an answer, in milliseconds: later, an answer is of no use. */
    fun clientTimeoutMs(head: RequestHead): Long

    /** Handles [request] and answers by [responder], now or later. */
    fun handle(request: HttpMessage<RequestHead>, responder: HttpResponder)
}

/**
 * One connection of the [HttpServer]: queues each request at its priority and sends the answer. Requests are not
 * pipelined; one that arrives before the answer to the last is kept. It costs no coroutine, since there are hundreds of
 * connections and the requests of workers are most of what a leader does.
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
    /** Hears of what becomes of the connection and its requests. */
    interface Events {
        fun onClosed(connection: HttpServerConnection)

        /** See [HttpServer.Events.onShed]. */
        fun onShed(priority: TaskPriority)
    }

    /** When it last sent something or was answered, by the steady clock in milliseconds. */
    var activeAt = SteadyClock.ms()
        private set

    /** Whether a request is queued or waits for its answer. */
    val handling: Boolean get() = current != null
    private val messages = MessageAssembler(heads, MAX_BODY)
    private var current: HttpMessage<RequestHead>? = null
    private var arrivedAt = 0L

    fun close() = socket.close()

    override fun onBytes(bytes: ByteArray, size: Int) {
        activeAt = SteadyClock.ms()
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
            current = request
            arrivedAt = activeAt
            loop.submit(handler.priorityOf(request.head), this)
        } catch (expected: BodyTooLargeException) {
            socket.send(HttpWriter.response(HttpReply(HttpStatus.CONTENT_TOO_LARGE, null), closes = true))
            socket.closeAfterSending()
        } catch (expected: Exception) {
            // The peer does not speak HTTP. Not only IOException: the parser has exceptions of its own.
            socket.close()
        }
    }

    /** Handles the current request, unless its client has disconnected or timed out. */
    override fun run() {
        val request = current ?: return
        val timedOut = SteadyClock.ms() - arrivedAt > handler.clientTimeoutMs(request.head)
        if (!socket.ended && !timedOut) return handler.handle(request, this)
        events.onShed(handler.priorityOf(request.head))
        socket.close()
    }

    override fun answer(reply: HttpReply) {
        val closes = current?.head?.framing?.closes ?: return
        current = null
        activeAt = SteadyClock.ms()
        socket.send(HttpWriter.response(reply, closes))
        if (closes) return socket.closeAfterSending()
        if (messages.size == 0) return
        socket.resumeReading()
        takeRequest()
    }

    private companion object {
        const val MAX_BODY = 64 * 1024
        const val MAX_UNREAD = 128 * 1024
    }
}
