package org.chalkhollow.runtime

import org.chalkhollow.settings.Address

/**
 * A small HTTP/1.1 server on an [EventLoop] that uses the parser of Ktor's CIO engine. Connections are persistent and
 * without pipelining. Body sizes and the number of connections ([maxConnections]) are limited. Idle connections and
 * those of clients that read too slowly are closed. [clock] returns monotonic time in milliseconds.
 */
class HttpServer(
    private val loop: EventLoop,
    private val address: Address,
    private val maxConnections: Int,
    private val clock: () -> Long,
    private val events: Events,
) {
    /** Callbacks of the server. */
    interface Events {
        /** Called before a connection is added. */
        fun beforeAccept()

        /** Creates the handler for the requests of a new connection. */
        fun newHandler(): HttpHandler

        /** A queued request was shed, because its client had disconnected or timed out. */
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

    /** The number of open connections. */
    val connectionCount: Int get() = connections.size
    private val isFull: Boolean get() = connections.size >= maxConnections

    /** When [closeIdle] last ran, by [clock]. */
    private var sweptAtMs = 0L

    /** Binds the port and accepts connections. Throws `IOException` when the port is in use. */
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

        // At the connection limit, idle connections are closed sooner, but not searched for at every new connection.
        const val MIN_FULL_SWEEP_INTERVAL_MS = 500L
        const val MAX_IDLE_WHEN_FULL_MS = 15_000L
    }
}
