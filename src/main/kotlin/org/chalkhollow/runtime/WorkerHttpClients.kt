package org.chalkhollow.runtime

import org.chalkhollow.settings.Address

/**
 * One [HttpClient] with one kept connection for each worker that direct commands go to. At the largest sizes there are
 * fewer sockets than two a worker, so these are the ones to close: whenever the process holds more than [maxSockets],
 * the least recently used are closed. [otherSocketCount] counts the sockets held for everything else, which cannot be
 * closed.
 */
class WorkerHttpClients(
    private val loop: EventLoop,
    private val maxSockets: Int,
    private val otherSocketCount: () -> Int,
) {
    /** By address, least recently used first. */
    private val clients = LinkedHashMap<String, HttpClient>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** The client of the worker at [address], which is `host:port`; null for what is no address. */
    fun clientOf(address: String): HttpClient? {
        clients[address]?.let { return it }
        val port = address.substringAfterLast(':', "").toIntOrNull() ?: return null
        freeSockets(1)
        return HttpClient(loop, Address(address.substringBeforeLast(':'), port), MAX_BODY_BYTES, 1, TaskPriority.WORKER)
            .also { clients[address] = it }
    }

    /** Closes the least recently used until there is room for [sockets] more. */
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

        // The defaults of LinkedHashMap, which has no constructor for access order without them.
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
