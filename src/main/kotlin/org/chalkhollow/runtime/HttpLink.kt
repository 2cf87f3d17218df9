package org.chalkhollow.runtime

import io.ktor.http.HttpMethod
import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.chalkhollow.runtime.Http.sendRequest
import org.chalkhollow.settings.Address

/** How a request ended. */
sealed interface HttpResult {
    class Answered(val status: Int, val body: ByteArray) : HttpResult

    /** It certainly never left this process. */
    data object NotSent : HttpResult
    data object NoResponse : HttpResult
}

/** Requests to one address over a few persistent connections, one request at a time on each. */
class HttpLink(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val address: Address,
    private val maxBody: Int,
    private val maxIdle: Int,
) {
    private class Line(val socket: Socket, val input: ByteReadChannel, val output: ByteWriteChannel)

    private val idle = ArrayDeque<Line>()

    suspend fun request(method: HttpMethod, path: String, body: ByteArray?, timeoutMs: Long): HttpResult {
        val line = idle.removeLastOrNull()?.takeIf { !it.input.isClosedForRead } ?: connect(minOf(timeoutMs, CONNECT_MS))
            ?: return HttpResult.NotSent
        var keep = false
        try {
            val result = withTimeoutOrNull(timeoutMs) {
                line.output.sendRequest(method, address.toString(), path, body)
                val response = parseResponse(line.input) ?: return@withTimeoutOrNull null
                val status = response.status
                val closes = Http.closes(response.headers)
                val content = Http.body(scope, response.headers, line.input, maxBody)
                response.release()
                if (content == null) return@withTimeoutOrNull null
                keep = !closes
                HttpResult.Answered(status, content)
            }
            return result ?: HttpResult.NoResponse
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            return HttpResult.NoResponse
        } finally {
            if (keep && idle.size < maxIdle) idle.addLast(line) else line.socket.close()
        }
    }

    private suspend fun connect(timeoutMs: Long): Line? {
        var made: Socket? = null
        try {
            val socket = withTimeoutOrNull(timeoutMs) {
                aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }.also { made = it }
            }
            if (socket == null) {
                made?.close()
                return null
            }
            return Line(socket, socket.openReadChannel(), socket.openWriteChannel(autoFlush = false))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            return null
        }
    }

    fun close() {
        while (true) (idle.removeLastOrNull() ?: return).socket.close()
    }

    private companion object {
        const val CONNECT_MS = 1000L
    }
}
