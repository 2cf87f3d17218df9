package org.chalkhollow.runtime

import org.chalkhollow.settings.Address
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList

/** Runs the server and the client over loopback sockets. Assertions do not depend on timing; a hang fails the test. */
@Timeout(60)
class HttpServerTest {
    private val loop = EventLoop()
    private val shed = CopyOnWriteArrayList<TaskPriority>()
    private var clientTimeoutMs = 60_000L
    private val address = Address("127.0.0.1", freePort())

    /** Requests that [handler] does not respond to, by path. */
    private val unanswered = HashMap<String, HttpResponder>()

    private val handler =
        object : HttpHandler {
            override fun priorityOf(head: RequestHead) = TaskPriority.USER

            override fun clientTimeoutMs(head: RequestHead) = clientTimeoutMs

            override fun handle(request: HttpMessage<RequestHead>, responder: HttpResponder) {
                if (request.head.path == "/held") {
                    unanswered[request.head.path] = responder
                } else {
                    responder.respond(HttpResponse(200, request.body))
                }
            }
        }

    private val server =
        HttpServer(
            loop,
            address,
            10,
            { 0L },
            object : HttpServer.Events {
                override fun beforeAccept() = Unit

                override fun newHandler() = handler

                override fun onShed(priority: TaskPriority) {
                    shed.add(priority)
                }
            },
        )

    private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

    /** Runs [block] on the loop's thread and returns its result. */
    private fun <T> onLoop(block: () -> T): T {
        val result = CompletableFuture<T>()
        loop.dispatch(kotlin.coroutines.EmptyCoroutineContext) { result.complete(block()) }
        return result.join()
    }

    private fun startServer() {
        Thread(loop::run).apply { isDaemon = true }.start()
        onLoop { server.start() }
    }

    private fun connect() = Socket().apply { connect(InetSocketAddress(address.host, address.port)) }

    @Test
    fun `the server closes a connection after the client has closed its side`() {
        startServer()
        connect().use { client ->
            client.getOutputStream().write("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi".encodeToByteArray())
            val statusLine = client.getInputStream().readNBytes("HTTP/1.1 200 OK".length).decodeToString()
            assertEquals("HTTP/1.1 200 OK", statusLine)
            client.shutdownOutput()
            client.getInputStream().readAllBytes() // returns only when the server has closed its side
            assertEquals(0, onLoop { server.connectionCount })
        }
    }

    @Test
    fun `a request whose client has timed out is shed and counted, not handled`() {
        clientTimeoutMs = -1
        startServer()
        connect().use { client ->
            client.getOutputStream().write("GET /a HTTP/1.1\r\n\r\n".encodeToByteArray())
            assertEquals(0, client.getInputStream().readAllBytes().size)
        }
        assertEquals(listOf(TaskPriority.USER), shed)
    }

    @Test
    fun `a client reuses its connection, and reports a missing response or server`() {
        startServer()
        val client = HttpClient(loop, address, 1000, 1, TaskPriority.USER)
        val results = List(2) { send(client, "/a", 10_000) }
        assertEquals(listOf("hi", "hi"), results.map { (it as HttpResult.Response).body.decodeToString() })
        assertEquals(1, onLoop { server.connectionCount })
        assertEquals(HttpResult.NoResponse, send(client, "/held", 50))
        val withoutServer = HttpClient(loop, Address("127.0.0.1", freePort()), 1000, 1, TaskPriority.USER)
        assertEquals(HttpResult.NotSent, send(withoutServer, "/a", 10_000))
    }

    private fun send(client: HttpClient, path: String, timeoutMs: Long): HttpResult {
        val result = CompletableFuture<HttpResult>()
        onLoop { client.request("POST", path, "hi".encodeToByteArray(), timeoutMs) { result.complete(it) } }
        return result.join()
    }
}
