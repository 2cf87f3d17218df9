package org.chalkhollow.runtime

import org.chalkhollow.settings.Address

/**
 * A small HTTP/1.1 server on an [EventLoop] with the parser of Ktor's CIO engine: persistent connections, no
 * pipelining, bodies bounded, connections bounded by [maxConnections], and slow or idle ones closed. [clock] is a
 * steady clock in milliseconds.
 */
class HttpServer(
    private val loop: EventLoop,
    private val address: Address,
    private val maxConnections: Int,
    private val clock: () -> Long,
    private val events: Events,
) {
    /** Callbacks for what the server does. */
    interface Events {
        /** A connection is about to be accepted. */
        fun beforeAccept()

        /** Makes what handles the requests of a new connection. */
        fun newHandler(): HttpHandler

        /** A request was dropped before it was handled, since its client had disconnected or timed out. */
        fun onShed(priority: TaskPriority)
    }

    private val heads = HeadReader.ofRequests()
    private val connections = HashSet<HttpServerConnection>()
    private val connectionEvents =
        object : HttpServerConnection.Events {
            override fun onClosed(connection: HttpServerConnection) {
                connections.remove(connection)
            }

            override fun onShed(priority: TaskPriority) = events.onShed(priority)
        }

    /** How many connections are open. */
    val connectionCount: Int get() = connections.size
    private val isFull: Boolean get() = connections.size >= maxConnections

    /** When [closeIdle] last ran. */
    private var sweptAtMs = 0L

    /** Binds the port and serves; throws `IOException` when the port is taken. */
    fun start() {
        TcpConnection.listen(loop, address, BACKLOG, ::onAccepted)
        scheduleSweep()
    }

    private fun scheduleSweep() {
        loop.runAfter(SWEEP_INTERVAL_MS) {
            closeIdle(MAX_IDLE_MS)
            scheduleSweep()
        }
    }

    private fun onAccepted(socket: TcpConnection) {
        if (isFull && clock() - sweptAtMs > MIN_FULL_SWEEP_INTERVAL_MS) closeIdle(MAX_IDLE_WHEN_FULL_MS)
        if (isFull) return socket.close()
        events.beforeAccept()
        val connection = HttpServerConnection(socket, loop, heads, events.newHandler(), connectionEvents)
        connections.add(connection)
        socket.receive(connection)
    }

    private fun closeIdle(maxIdleMs: Long) {
        val now = clock()
        sweptAtMs = now
        val idle = connections.filter { !it.isHandling && now - it.lastActiveMs > maxIdleMs }
        for (connection in idle) connection.close()
    }

    private companion object {
        const val BACKLOG = 4096
        const val SWEEP_INTERVAL_MS = 5000L
        const val MAX_IDLE_MS = 90_000L

        // With no connection to spare, idle ones are closed sooner, but not looked for at every attempt.
        const val MIN_FULL_SWEEP_INTERVAL_MS = 500L
        const val MAX_IDLE_WHEN_FULL_MS = 15_000L
    }
}
