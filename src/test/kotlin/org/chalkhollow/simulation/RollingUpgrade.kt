package org.chalkhollow.simulation

import org.chalkhollow.settings.StateLimits

/**
 * A rolling upgrade. All controllers start as the version in production, which keeps within the old limits of the state
 * service. [begin] kills [batchSize] controllers at a time and restarts them as the new version, which keeps within
 * [newLimits]. A controller that crashes before its upgrade restarts as the old version. 0.1 to 15 s after the last
 * upgrade the state service enforces [finalLimits].
 */
class RollingUpgrade(
    private val simulation: Simulation,
    private val newLimits: StateLimits,
    private val batchSize: Int,
    private val finalLimits: StateLimits = newLimits,
) {
    private val clock = simulation.clock

    /** When all controllers ran the new version. */
    var allUpgradedAtMs = Long.MAX_VALUE
        private set

    /** When the state service began to enforce [finalLimits]. */
    var limitsLoweredAtMs = Long.MAX_VALUE
        private set

    init {
        simulation.onStart = ::exchangeHellos
    }

    /** A controller that starts and every running controller send each other a hello. */
    private fun exchangeHellos(node: SimulatedController) {
        for (other in simulation.nodes) {
            if (other === node || !other.alive) continue
            other.receiveHello(simulation.indexAt(other.label, node.label), node.label, node.version)
            node.receiveHello(simulation.indexAt(node.label, other.label), other.label, other.version)
        }
    }

    /** Begins the upgrade [fromMs] from now, in random order of the controllers. */
    fun begin(fromMs: Long) {
        val order = simulation.nodes.sortedBy { clock.random.nextInt() }.chunked(batchSize)
        var atMs = fromMs
        for (group in order) {
            clock.after(atMs) { group.forEach(::upgrade) }
            atMs += clock.between(9000, 20_000)
        }
        clock.after(atMs) { awaitUpgrade() }
    }

    private fun upgrade(node: SimulatedController) {
        node.crash()
        node.upgrade(simulation.settingsWith(node.label, newLimits))
        clock.after(clock.between(4000, 8000)) { node.start() }
    }

    private fun awaitUpgrade() {
        if (simulation.nodes.any { !it.alive }) return clock.after(200) { awaitUpgrade() }
        allUpgradedAtMs = clock.timeMs
        clock.after(clock.between(100, 15_000)) {
            simulation.state.loweredLimits = finalLimits
            limitsLoweredAtMs = clock.timeMs
        }
    }
}
