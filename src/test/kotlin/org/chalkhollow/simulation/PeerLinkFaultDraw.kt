package org.chalkhollow.simulation

/** Draws faults of the links between controllers from the simulation's seed. */
class PeerLinkFaultDraw(private val simulation: Simulation) {
    private val clock = simulation.clock

    private enum class Kind { REFUSED, SILENT, LOST_ONE_WAY }

    private enum class Direction { TO_LEADER, FROM_LEADER, BOTH }

    /** Injects faults that all end within [forMs]; some controllers may run an older version. */
    fun inject(forMs: Long) {
        if (clock.chance(0.4)) {
            simulation.peerLinks.oneWayControllers.add(
                simulation.nodes[clock.random.nextInt(simulation.nodes.size)].label,
            )
        }
        repeat(1 + clock.random.nextInt(3)) { clock.after(clock.between(0, forMs / 4)) { injectOne(forMs * 3 / 4) } }
    }

    private fun injectOne(maxMs: Long) {
        val leader = simulation.nodes.firstOrNull { it.leads } ?: return
        val others = simulation.nodes.filter { it !== leader }
        val followers = if (clock.chance(0.5)) others else listOf(others[clock.random.nextInt(others.size)])
        val kind = Kind.entries[clock.random.nextInt(Kind.entries.size)]
        val direction = Direction.entries[clock.random.nextInt(Direction.entries.size)]
        val endsAtMs = clock.timeMs + clock.between(300, maxMs)
        val periodMs = if (clock.chance(0.5)) clock.between(500, 8000) else maxMs
        flap(endsAtMs, periodMs) { forMs -> followers.forEach { fail(it, leader, kind, direction, forMs) } }
    }

    /** Calls [fail] at the beginning of every second period, with its length, until [endsAtMs]. */
    private fun flap(endsAtMs: Long, periodMs: Long, fail: (Long) -> Unit) {
        if (clock.timeMs >= endsAtMs) return
        fail(minOf(periodMs, endsAtMs - clock.timeMs))
        clock.after(2 * periodMs) { flap(endsAtMs, periodMs, fail) }
    }

    private fun fail(
        follower: SimulatedController,
        leader: SimulatedController,
        kind: Kind,
        direction: Direction,
        forMs: Long,
    ) {
        if (direction != Direction.FROM_LEADER) fail(kind, follower.label, leader.label, forMs)
        if (direction != Direction.TO_LEADER) fail(kind, leader.label, follower.label, forMs)
    }

    private fun fail(kind: Kind, from: String, to: String, forMs: Long) {
        when (kind) {
            Kind.REFUSED -> simulation.peerLinks.fail(from, to, PeerLinks.Fault.REFUSED, forMs)
            Kind.SILENT -> simulation.peerLinks.fail(from, to, PeerLinks.Fault.SILENT, forMs)
            Kind.LOST_ONE_WAY -> simulation.network.cutOneWay(from, to, forMs)
        }
    }
}
