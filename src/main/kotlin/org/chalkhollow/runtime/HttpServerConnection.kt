package org.chalkhollow.runtime

import org.chalkhollow.model.HttpStatus

/** Takes the answer to a request, now or later, and only once. */
fun interface HttpResponder {
    fun respond(response: HttpResponse)
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
    /** Callbacks for the end of the connection and of its requests. */
    interface Events {
        fun onClosed(connection: HttpServerConnection)

        /** See [HttpServer.Events.onShed]. */
        fun onShed(priority: TaskPriority)
    }

    /** When it last sent something or was answered, by the steady clock in milliseconds. */
    var lastActiveMs = SystemClocks.monotonicMs()
        private set

    /** Whether a request is queued or waits for its answer. */
    val isHandling: Boolean get() = current != null
    private val messages = MessageAssembler(heads, MAX_BODY_BYTES)
    private var current: HttpMessage<RequestHead>? = null
    private var arrivedAtMs = 0L

    fun close() = socket.close()

    override fun onBytes(bytes: ByteArray, size: Int) {
        lastActiveMs = SystemClocks.monotonicMs()
        messages.add(bytes, size)
        if (isHandling) {
            if (messages.bufferedBytes > MAX_BUFFERED_BYTES) socket.pauseReading()
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
            arrivedAtMs = lastActiveMs
            loop.submit(handler.priorityOf(request.head), this)
        } catch (expected: BodyTooLargeException) {
            socket.send(HttpWriter.response(HttpResponse(HttpStatus.CONTENT_TOO_LARGE, null), closesConnection = true))
            socket.closeAfterSending()
        } catch (expected: Exception) {
            // The peer does not speak HTTP. Not only IOException: the parser has exceptions of its own.
            socket.close()
        }
    }

    /** Handles the current request, unless its client has disconnected or timed out. */
    override fun run() {
        val request = current ?: return
        val timedOut = SystemClocks.monotonicMs() - arrivedAtMs > handler.clientTimeoutMs(request.head)
        if (!socket.hasEnded && !timedOut) return handler.handle(request, this)
        events.onShed(handler.priorityOf(request.head))
        socket.close()
    }

    override fun respond(response: HttpResponse) {
        val closesConnection = current?.head?.framing?.closesConnection ?: return
        current = null
        lastActiveMs = SystemClocks.monotonicMs()
        socket.send(HttpWriter.response(response, closesConnection))
        if (closesConnection) return socket.closeAfterSending()
        if (messages.bufferedBytes == 0) return
        socket.resumeReading()
        takeRequest()
    }

    private companion object {
        const val MAX_BODY_BYTES = 64 * 1024
        const val MAX_BUFFERED_BYTES = 128 * 1024
    }
}
