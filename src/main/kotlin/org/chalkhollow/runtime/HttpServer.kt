package org.chalkhollow.runtime

import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writePacket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chalkhollow.settings.Address

/** What a request is answered with. */
class HttpReply(val status: Int, val body: ByteArray?, val retryAfterS: Int = 0, val type: String = "application/msgpack")

/**
 * A small HTTP/1.1 server on ktor-network with the parser of Ktor's CIO engine: persistent connections, no pipelining, bodies
 * bounded, connections bounded, and slow or idle ones closed.
 */
class HttpServer(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val address: Address,
    private val maxConnections: Int,
    private val clock: () -> Long,
    private val handler: suspend (method: String, path: String, body: ByteArray) -> HttpReply,
) {
    private class Connection(val socket: Socket) {
        var activeAt = 0L
        var handling = false
    }

    private val connections = HashSet<Connection>()

    /** Binds the port; throws when it is taken. */
    suspend fun bind(): ServerSocket = aSocket(selector).tcp().bind(address.host, address.port) {
        reuseAddress = true
        backlogSize = BACKLOG
    }

    fun serve(server: ServerSocket) {
        scope.launch {
            while (true) {
                val socket = try {
                    server.accept()
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Throwable) {
                    delay(ACCEPT_PAUSE_MS) // out of sockets: those that idle are closed meanwhile
                    sweep(IDLE_SHORT_MS)
                    continue
                }
                if (connections.size >= maxConnections) sweep(IDLE_SHORT_MS)
                if (connections.size >= maxConnections) {
                    socket.close()
                    continue
                }
                val connection = Connection(socket)
                connection.activeAt = clock()
                connections.add(connection)
                scope.launch { talk(connection) }
            }
        }
        scope.launch {
            while (true) {
                delay(SWEEP_MS)
                sweep(IDLE_MS)
            }
        }
    }

    private fun sweep(idleMs: Long) {
        val t = clock()
        for (c in connections.filter { !it.handling && t - it.activeAt > idleMs }) {
            connections.remove(c)
            c.socket.close()
        }
    }

    private suspend fun talk(c: Connection) {
        try {
            val input = c.socket.openReadChannel()
            val output = c.socket.openWriteChannel(autoFlush = false)
            while (true) {
                val request = parseRequest(input) ?: break
                c.activeAt = clock()
                val method = request.method
                val path = request.uri.toString()
                val close = Http.closes(request.headers)
                val body = Http.body(scope, request.headers, input, MAX_BODY)
                request.release()
                if (body == null) {
                    output.reply(HttpReply(413, null), true)
                    break
                }
                c.handling = true
                val reply = handler(if (method == HttpMethod.Get) "GET" else method.value, path, body)
                c.handling = false
                c.activeAt = clock()
                output.reply(reply, close)
                if (close) break
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            // The other side went away or does not speak HTTP; the connection is all there is to clean up.
        } finally {
            connections.remove(c)
            c.socket.close()
        }
    }

    private suspend fun ByteWriteChannel.reply(r: HttpReply, close: Boolean) {
        val b = RequestResponseBuilder()
        b.responseLine("HTTP/1.1", r.status, REASONS[r.status] ?: "Status")
        val body = r.body ?: Http.EMPTY
        if (body.isNotEmpty()) b.headerLine("Content-Type", r.type)
        b.headerLine("Content-Length", body.size.toString())
        if (r.retryAfterS > 0) b.headerLine("Retry-After", r.retryAfterS.toString())
        if (close) b.headerLine("Connection", "close")
        b.emptyLine()
        if (body.isNotEmpty()) b.bytes(body)
        writePacket(b.build())
        flush()
    }

    private companion object {
        const val MAX_BODY = 64 * 1024
        const val BACKLOG = 256
        const val ACCEPT_PAUSE_MS = 100L
        const val SWEEP_MS = 5000L
        const val IDLE_MS = 90_000L
        const val IDLE_SHORT_MS = 15_000L
        val REASONS = mapOf(
            200 to "OK", 201 to "Created", 400 to "Bad Request", 404 to "Not Found", 405 to "Method Not Allowed",
            413 to "Content Too Large", 421 to "Misdirected Request", 422 to "Unprocessable Content", 503 to "Service Unavailable",
        )
    }
}
