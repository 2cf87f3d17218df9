package org.chalkhollow.runtime

import org.chalkhollow.settings.Address

/**
 * A small HTTP/1.1 server on an [EventLoop] with the parser of Ktor's CIO engine: persistent connections, no
 * pipelining, bodies bounded, connections bounded, and slow or idle ones closed.
 */
class HttpServer(
    private val loop: EventLoop,
    private val address: Address,
    private val maxConnections: Int,
    private val clock: () -> Long,
    private val events: Events,
) {
    interface Events {
        /** A connection is about to be accepted. */
        fun beforeAccept()

        /** Makes what handles the requests of a new connection. */
        fun newHandler(): HttpHandler

        /** A request was not worked on, since its client had gone or waited no more. */
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
    val connected: Int get() = connections.size
    private var sweptAt = 0L

    /** Binds the port and serves; throws when the port is taken. */
    fun start() {
        TcpConnection.listen(loop, address, BACKLOG, ::accepted)
        sweepRegularly()
    }

    private fun sweepRegularly() {
        loop.after(SWEEP_MS) {
            sweep(IDLE_MS)
            sweepRegularly()
        }
    }

    private fun accepted(socket: TcpConnection) {
        if (connections.size >= maxConnections && clock() - sweptAt > FULL_SWEEP_MS) sweep(IDLE_SHORT_MS)
        if (connections.size >= maxConnections) return socket.close()
        events.beforeAccept()
        val connection = HttpServerConnection(socket, loop, heads, events.newHandler(), connectionEvents)
        connections.add(connection)
        socket.receive(connection)
    }

    private fun sweep(idleMs: Long) {
        val t = clock()
        sweptAt = t
        for (c in connections.filter { !it.handling && t - it.activeAt > idleMs }) c.close()
    }

    private companion object {
        const val BACKLOG = 4096
        const val FULL_SWEEP_MS = 500L
        const val SWEEP_MS = 5000L
        const val IDLE_MS = 90_000L
        const val IDLE_SHORT_MS = 15_000L
    }
}
