package org.chalkhollow.simulation

/**
 * The load balancer of the users, as the protocol describes it: it probes `GET /up` of every controller once a second,
 * sends new connections to healthy controllers only, and resets the open connections of a controller that has been
 * unhealthy for 5 s.
 */
class LoadBalancer(private val simulation: Simulation) {
    private val clock = simulation.clock
    private val targets = simulation.nodes.map { Target(it) }

    /** What the load balancer knows of one controller. */
    private class Target(val node: SimulatedController) {
        val probes = ArrayDeque<Boolean>()
        val removedAtMs = ArrayList<Long>()
        val connections = ArrayList<Connection>()
        var isHealthy = false

        val pauseMs: Long
            get() {
                val recent = removedAtMs.count { removedAtMs.last() - it < REMOVAL_MEMORY_MS }
                return (MIN_PAUSE_MS shl (recent - 1).coerceIn(0, MAX_DOUBLINGS)).coerceAtMost(MAX_PAUSE_MS)
            }
    }

    /** A user's connection to [node]; it stays until the load balancer resets it. */
    class Connection(val node: SimulatedController) {
        var isOpen = true
            internal set
    }

    /** Since when no controller was healthy; null while one is. */
    var noneHealthySinceMs: Long? = 0L
        private set

    /** The longest time for which no controller was healthy, after the first one had become healthy. */
    var longestWithoutHealthyMs = 0L
        private set

    /** How often a controller that was healthy became unhealthy. */
    val removals: Int get() = targets.sumOf { it.removedAtMs.size }

    fun isHealthy(node: SimulatedController): Boolean = target(node).isHealthy

    /** Begins to probe the controllers. */
    fun start() {
        for (target in targets) clock.after(clock.between(0, PROBE_INTERVAL_MS)) { probe(target) }
    }

    /** Opens a connection to the healthy controller with the fewest; null if none is healthy or it does not run. */
    fun connect(): Connection? {
        val target = targets.filter { it.isHealthy }.minByOrNull { it.connections.size } ?: return null
        if (!target.node.alive) return null
        return Connection(target.node).also { target.connections.add(it) }
    }

    private fun target(node: SimulatedController) = targets.first { it.node === node }

    private fun probe(target: Target) {
        clock.after(PROBE_INTERVAL_MS) { probe(target) }
        val up = target.node.acceptsRequests
        target.probes.addLast(up)
        if (target.probes.size > PROBE_WINDOW) target.probes.removeFirst()
        if (!target.node.alive) close(target)
        if (target.isHealthy) removeIfFailing(target) else addIfRecovered(target)
        recordHealth()
    }

    private fun removeIfFailing(target: Target) {
        val lastTwoFailed = target.probes.takeLast(2).let { it.size == 2 && it.none { up -> up } }
        if (!lastTwoFailed && target.probes.count { !it } < MAX_FAILED_PROBES) return
        target.isHealthy = false
        target.removedAtMs.add(clock.timeMs)
        val removal = target.removedAtMs.size
        clock.after(RESET_AFTER_MS) { if (!target.isHealthy && target.removedAtMs.size == removal) close(target) }
    }

    private fun addIfRecovered(target: Target) {
        val isNew = target.removedAtMs.isEmpty()
        val needed = if (isNew) 1 else 2
        val lastSucceeded = target.probes.takeLast(needed).let { it.size == needed && it.all { up -> up } }
        if (!lastSucceeded || !isNew && clock.timeMs - target.removedAtMs.last() < target.pauseMs) return
        target.isHealthy = true
        target.probes.clear()
    }

    private fun close(target: Target) {
        target.connections.forEach { it.isOpen = false }
        target.connections.clear()
    }

    private fun recordHealth() {
        if (targets.any { it.isHealthy }) {
            noneHealthySinceMs = null
            return
        }
        val wasEverHealthy = targets.any { it.removedAtMs.isNotEmpty() }
        if (!wasEverHealthy) return
        val since = noneHealthySinceMs ?: clock.timeMs.also { noneHealthySinceMs = it }
        longestWithoutHealthyMs = maxOf(longestWithoutHealthyMs, clock.timeMs - since)
    }

    private companion object {
        const val PROBE_INTERVAL_MS = 1000L
        const val PROBE_WINDOW = 6
        const val MAX_FAILED_PROBES = 3
        const val RESET_AFTER_MS = 5000L
        const val MIN_PAUSE_MS = 3000L
        const val MAX_PAUSE_MS = 60_000L
        const val MAX_DOUBLINGS = 5
        const val REMOVAL_MEMORY_MS = 120_000L
    }
}
