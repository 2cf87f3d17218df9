package org.chalkhollow.runtime

import org.chalkhollow.settings.Address

/**
 * Keeps one [HttpClient] with one persistent connection for each worker that gets direct commands. The largest
 * deployments have fewer than two sockets per worker, so these connections are closed when sockets run short: while the
 * process uses more than [maxSockets], the least recently used ones are closed. [otherSocketCount] returns the number
 * of sockets used for everything else, which cannot be closed.
 */
class WorkerHttpClients(
    private val loop: EventLoop,
    private val maxSockets: Int,
    private val otherSocketCount: () -> Int,
) {
    /** By address; in access order, the least recently used first. */
    private val clients = LinkedHashMap<String, HttpClient>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** The client of the worker at [address] (`host:port`); null if the address is malformed. */
    fun clientOf(address: String): HttpClient? {
        clients[address]?.let { return it }
        val port = address.substringAfterLast(':', "").toIntOrNull() ?: return null
        freeSockets(1)
        return HttpClient(loop, Address(address.substringBeforeLast(':'), port), MAX_BODY_BYTES, 1, TaskPriority.WORKER)
            .also { clients[address] = it }
    }

    /** Closes the least recently used clients until [count] more sockets can be opened. */
    fun freeSockets(count: Int) {
        val excess = clients.size + otherSocketCount() + count - maxSockets
        val leastRecentlyUsed = clients.values.iterator()
        repeat(excess) {
            if (!leastRecentlyUsed.hasNext()) return
            leastRecentlyUsed.next().close()
            leastRecentlyUsed.remove()
        }
    }

    private companion object {
        const val MAX_BODY_BYTES = 256 * 1024

        // LinkedHashMap's defaults; its constructor for access order requires them.
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
