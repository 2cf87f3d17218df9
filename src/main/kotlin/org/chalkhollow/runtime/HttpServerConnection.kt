package org.chalkhollow.runtime

import org.chalkhollow.model.HttpStatus

/** Receives the response to a request. Called exactly once, immediately or later. */
fun interface HttpResponder {
    fun respond(response: HttpResponse)
}

/** Handles the requests of one connection, one at a time. */
interface HttpHandler {
    /** The priority at which a request is queued. */
    fun priorityOf(head: RequestHead): TaskPriority

    /** How long the client waits for a response, in milliseconds. A later response is useless. */
    fun clientTimeoutMs(head: RequestHead): Long

    /** Handles [request] and responds through [responder], now or later. */
    fun handle(request: HttpMessage<RequestHead>, responder: HttpResponder)
}

/**
 * One connection of the [HttpServer]. Queues each request at its priority and sends the response. Requests are not
 * pipelined: one that arrives early is buffered until the response to the previous one is sent. Uses callbacks instead
 * of a coroutine, because there are hundreds of connections and workers' requests are most of a leader's load.
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
    /** Callbacks for closed connections and shed requests. */
    interface Events {
        fun onClosed(connection: HttpServerConnection)

        /** See [HttpServer.Events.onShed]. */
        fun onShed(priority: TaskPriority)
    }

    /** When the client last sent data or was sent a response; monotonic. */
    var lastActiveMs = SystemClocks.monotonicMs()
        private set

    /** Whether a request is queued or has no response yet. */
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
        socket.close() // the peer may have closed only its own direction
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
            // Not valid HTTP. Not only IOException: the parser throws its own exceptions.
            socket.close()
        }
    }

    /** Handles the current request, or sheds it if its client has disconnected or timed out. */
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
