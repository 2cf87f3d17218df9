package org.chalkhollow.simulation

import org.chalkhollow.settings.StateLimits

/**
 * Controllers that begin as the version in production, which keeps within the old limits, are killed [atOnce] at a time
 * and come back keeping within [next]; one that dies before its turn comes back as it was. Some time after the last,
 * the state service has the limits [then].
 */
class RollingUpgrade(
    private val simulation: Simulation,
    private val next: StateLimits,
    private val atOnce: Int,
    private val then: StateLimits = next,
) {
    private val clock = simulation.clock

    /** When all controllers ran the new version, and when the limits were lowered. */
    var allNewAt = Long.MAX_VALUE
        private set
    var loweredAt = Long.MAX_VALUE
        private set

    init {
        simulation.onStart = ::greetings
    }

    /** Whoever starts connects to all that run, and they to it. */
    private fun greetings(node: SimulatedController) {
        for (other in simulation.nodes) {
            if (other === node || !other.alive) continue
            other.greet(simulation.indexAt(other.label, node.label), node.label, node.version)
            node.greet(simulation.indexAt(node.label, other.label), other.label, other.version)
        }
    }

    fun begin(fromMs: Long) {
        val order = simulation.nodes.sortedBy { clock.random.nextInt() }.chunked(atOnce)
        var at = fromMs
        for (group in order) {
            clock.after(at) { group.forEach(::replace) }
            at += clock.between(9000, 20_000)
        }
        clock.after(at) { awaitNew() }
    }

    private fun replace(node: SimulatedController) {
        node.crash()
        node.upgrade(simulation.settingsWith(node.label, next))
        clock.after(clock.between(4000, 8000)) { node.start() }
    }

    private fun awaitNew() {
        if (simulation.nodes.any { !it.alive }) return clock.after(200) { awaitNew() }
        allNewAt = clock.time
        clock.after(clock.between(100, 15_000)) {
            simulation.state.lowered = then
            loweredAt = clock.time
        }
    }
}
