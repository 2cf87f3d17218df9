package org.chalkhollow.runtime

import org.chalkhollow.settings.Address

/**
 * Kept connections for direct commands, one a worker. At the largest sizes there are fewer sockets than two a worker,
 * so these give way: whenever the process holds more than [most], those that were used longest ago are closed. [others]
 * counts the sockets held for everything else, which are the ones that nobody can do without.
 */
class WorkerHttpClients(private val loop: EventLoop, private val most: Int, private val others: () -> Int) {
    private val links = LinkedHashMap<String, HttpClient>(16, 0.75f, true)

    /** The link to a worker; null for what is no address. */
    fun to(address: String): HttpClient? {
        links[address]?.let { return it }
        val port = address.substringAfterLast(':', "").toIntOrNull() ?: return null
        trim(1)
        return HttpClient(loop, Address(address.substringBeforeLast(':'), port), WORKER_BODY, 1, TaskPriority.WORKER)
            .also { links[address] = it }
    }

    /** Closes the eldest until there is room for [more] sockets. */
    fun trim(more: Int) {
        var over = links.size + others() + more - most
        val eldest = links.values.iterator()
        while (over-- > 0 && eldest.hasNext()) {
            eldest.next().close()
            eldest.remove()
        }
    }

    private companion object {
        const val WORKER_BODY = 256 * 1024
    }
}
