package org.chalkhollow.simulation

/** Injects random faults of every kind that the protocol names. They may overlap. */
class FaultInjection(private val simulation: Simulation) {
    private val clock = simulation.clock

    /** Schedules [count] random faults between [fromMs] and [toMs] from now. */
    fun injectRandom(count: Int, fromMs: Long, toMs: Long) {
        repeat(count) { clock.after(clock.between(fromMs, toMs)) { injectOne() } }
    }

    private fun injectOne() {
        if (simulation.verbose) println("${clock.timeMs} -- fault")
        val node = simulation.nodes[clock.random.nextInt(simulation.nodes.size)]
        val present = simulation.cloud.workers.filter { it.present }
        val worker = if (present.isEmpty()) null else present[clock.random.nextInt(present.size)]
        val kind = Kind.entries[clock.random.nextInt(Kind.entries.size)]
        when (kind.target) {
            Target.MACHINE -> worker?.let { injectMachineFault(it, kind) }
            Target.LINK -> injectLinkFault(node, kind)
            Target.CONTROLLER -> injectControllerFault(node, kind)
        }
    }

    private fun injectControllerFault(node: SimulatedController, kind: Kind) {
        when (kind) {
            Kind.CRASH -> crash(node, clock.between(5000, 9000))
            Kind.QUICK_RESTART -> crash(node, clock.between(50, 500))
            Kind.LEADER_CRASH -> simulation.nodes.filter { it.leads }.forEach { crash(it, clock.between(3000, 9000)) }
            Kind.ALL_CRASH -> simulation.nodes.forEach { crash(it, clock.between(3000, 9000)) }
            Kind.FLAPPING ->
                simulation.nodes
                    .filter { it.leads || clock.chance(0.3) }
                    .forEach { crashRepeatedly(it, 1 + clock.random.nextInt(4)) }
            else -> throw IllegalArgumentException("$kind is not a fault of a controller")
        }
    }

    /**
     * Injects a fault of the state service, or of the controller's links to its peers, the state service or the cloud.
     */
    private fun injectLinkFault(node: SimulatedController, kind: Kind) {
        when (kind) {
            Kind.STATE_OUTAGE -> simulation.state.outage(clock.between(2000, 25_000))
            Kind.STATE_REJECTS_CONTROLLER -> simulation.state.rejectRequestsOf(node.label, clock.between(3000, 20_000))
            Kind.CUT_FROM_PEERS ->
                for (peer in simulation.nodes.filter { it !== node }) {
                    simulation.network.cut(node.label, peer.label, clock.between(3000, 20_000), clock.chance(0.5))
                }
            Kind.ISOLATION -> isolate(node, clock.between(3000, 30_000), clock.chance(0.5))
            Kind.CUT_FROM_SERVICE -> {
                val service = if (clock.chance(0.5)) FakeStateService.NAME else FakeCloud.NAME
                simulation.network.cut(node.label, service, clock.between(2000, 15_000), clock.chance(0.5))
            }
            else -> throw IllegalArgumentException("$kind is not a fault of a link or service")
        }
    }

    private fun injectMachineFault(worker: FakeWorker, kind: Kind) {
        when (kind) {
            Kind.MACHINE_CUT_OFF ->
                for (node in simulation.nodes) {
                    simulation.network.cut(node.label, worker.name, clock.between(3000, 30_000), clock.chance(0.6))
                }
            Kind.MACHINE_HANGS -> worker.hang(clock.between(1000, 15_000))
            Kind.MACHINE_FAILS -> simulation.cloud.failMachine(worker.name)
            Kind.MACHINE_FAULTY -> {
                worker.isFaulty = true
                clock.after(20_000) { worker.isFaulty = false }
            }
            Kind.MACHINE_UNREACHABLE ->
                for (node in simulation.nodes) {
                    simulation.network.cutOneWay(node.label, worker.name, clock.between(5000, 40_000))
                }
            Kind.MACHINE_REBOOTS -> worker.reboot()
            else -> throw IllegalArgumentException("$kind is not a fault of a machine")
        }
    }

    /** Injects a fault that affects many machines or controllers at once. */
    fun injectMassFault(fault: MassFault) {
        val present = simulation.cloud.workers.filter { it.present }

        fun oneIn(n: Int) = present.filter { clock.random.nextInt(n) == 0 }
        when (fault) {
            MassFault.MACHINES_FAIL -> oneIn(15).forEach { simulation.cloud.failMachine(it.name) }
            MassFault.MACHINES_HANG -> oneIn(12).forEach { it.hang(clock.between(10_000, 35_000)) }
            MassFault.SPOT_MACHINES_TERMINATED -> terminateSpotMachines()
            MassFault.ZONE_CUT_OFF -> cutZone(simulation.zones.last(), 47_000)
            MassFault.CONTROLLERS_RESTART -> simulation.nodes.forEach { crash(it, clock.between(200, 8000)) }
            MassFault.ROLLING_RESTART ->
                simulation.nodes.forEachIndexed { index, node -> clock.after(index * 12_000L) { crash(node, 8000) } }
            MassFault.LEADER_CUT_FROM_MACHINES -> cutLeaderFromMachines()
        }
    }

    private fun terminateSpotMachines() {
        for (worker in simulation.cloud.workers.filter { it.present && it.spot && clock.chance(0.5) }) {
            clock.after(clock.between(0, 5000)) { simulation.cloud.failMachine(worker.name) }
        }
    }

    private fun cutLeaderFromMachines() {
        for (leader in simulation.nodes.filter { it.leads }) {
            for (worker in simulation.cloud.workers.filter { it.present }) {
                simulation.network.cut(leader.label, worker.name, 37_000, true)
            }
        }
    }

    /**
     * For [forMs], cuts the workers in [zone] and every second controller off from the other workers and controllers,
     * the services and the users. Messages across the cut are delivered when it ends.
     */
    fun cutZone(zone: String, forMs: Long) {
        val (nodesInside, nodesOutside) = simulation.nodes.withIndex().partition { it.index % 2 == 1 }
        val (workersInside, workersOutside) = simulation.cloud.workers.partition { it.zone == zone }
        val inside = nodesInside.map { it.value.label } + workersInside.map { it.name }
        val services = listOf(FakeStateService.NAME, FakeCloud.NAME, Users.NAME)
        val outside = nodesOutside.map { it.value.label } + workersOutside.map { it.name } + services
        for (end in inside) for (otherEnd in outside) simulation.network.cut(end, otherEnd, forMs, true)
    }

    /** Cuts a controller off from the state service and its peers; workers and users still reach it. */
    fun isolate(node: SimulatedController, forMs: Long, deliversLater: Boolean) {
        simulation.network.cut(node.label, FakeStateService.NAME, forMs, deliversLater)
        simulation.nodes.filter { it !== node }.forEach {
            simulation.network.cut(
                node.label,
                it.label,
                forMs,
                deliversLater,
            )
        }
    }

    /** Crashes and restarts a controller [times] times in short succession, so that some crashes hit an election. */
    fun crashRepeatedly(node: SimulatedController, times: Int) {
        crash(node, clock.between(50, 500))
        if (times > 1) clock.after(clock.between(500, 3500)) { crashRepeatedly(node, times - 1) }
    }

    /** Crashes [node] and restarts it after [restartAfterMs]. */
    fun crash(node: SimulatedController, restartAfterMs: Long) {
        node.crash()
        clock.after(restartAfterMs) { node.start() }
    }

    /** The kinds of fault that [injectRandom] draws from. What a seed leads to depends on their order. */
    private enum class Kind(val target: Target) {
        CRASH(Target.CONTROLLER),
        QUICK_RESTART(Target.CONTROLLER),
        LEADER_CRASH(Target.CONTROLLER),
        ALL_CRASH(Target.CONTROLLER),
        STATE_OUTAGE(Target.LINK),
        STATE_REJECTS_CONTROLLER(Target.LINK),
        CUT_FROM_PEERS(Target.LINK),
        MACHINE_CUT_OFF(Target.MACHINE),
        MACHINE_HANGS(Target.MACHINE),
        MACHINE_FAILS(Target.MACHINE),
        MACHINE_FAULTY(Target.MACHINE),
        MACHINE_UNREACHABLE(Target.MACHINE),
        ISOLATION(Target.LINK),
        FLAPPING(Target.CONTROLLER),
        MACHINE_REBOOTS(Target.MACHINE),
        CUT_FROM_SERVICE(Target.LINK),
    }

    private enum class Target { CONTROLLER, LINK, MACHINE }
}

/** Faults that affect many machines or controllers at once. What a seed leads to depends on their order. */
enum class MassFault {
    MACHINES_FAIL,
    MACHINES_HANG,
    SPOT_MACHINES_TERMINATED,
    ZONE_CUT_OFF,
    CONTROLLERS_RESTART,
    ROLLING_RESTART,
    LEADER_CUT_FROM_MACHINES,
}
