package org.chalkhollow.simulation

/** Draws faults of every kind that the protocol names, alone and on top of each other. */
class FaultInjection(private val r: Simulation) {
    private val clock = r.clock

    fun draw(count: Int, fromMs: Long, toMs: Long) {
        repeat(count) { clock.after(clock.between(fromMs, toMs)) { one() } }
    }

    private fun one() {
        if (r.verbose) println("${clock.time} -- fault")
        val node = r.nodes[clock.random.nextInt(r.nodes.size)]
        val worker =
            r.cloud.workers.filter { it.present }.let {
                if (it.isEmpty()) {
                    null
                } else {
                    it[
                        clock.random.nextInt(
                            it.size,
                        ),
                    ]
                }
            }
        when (clock.random.nextInt(KINDS)) {
            0 -> crash(node, clock.between(5000, 9000))
            1 -> crash(node, clock.between(50, 500))
            2 -> r.nodes.filter { it.leads }.forEach { crash(it, clock.between(3000, 9000)) }
            3 -> r.nodes.forEach { crash(it, clock.between(3000, 9000)) }
            4 -> r.state.outage(clock.between(2000, 25_000))
            5 -> r.state.refuse(node.label, clock.between(3000, 20_000))
            6 ->
                r.nodes
                    .filter {
                        it !== node
                    }.forEach { r.network.cut(node.label, it.label, clock.between(3000, 20_000), clock.chance(0.5)) }
            7 ->
                worker?.let { w ->
                    r.nodes.forEach { r.network.cut(it.label, w.name, clock.between(3000, 30_000), clock.chance(0.6)) }
                }
            8 -> worker?.hang(clock.between(1000, 15_000))
            9 -> worker?.let { r.cloud.kill(it.name) }
            10 ->
                worker?.let { w ->
                    w.sick = true
                    clock.after(20_000) { w.sick = false }
                }
            11 ->
                worker?.let { w ->
                    r.nodes.forEach { r.network.cutOneWay(it.label, w.name, clock.between(5000, 40_000)) }
                }
            12 -> isolate(node, clock.between(3000, 30_000), clock.chance(0.5))
            13 -> r.nodes.filter { it.leads || clock.chance(0.3) }.forEach { flap(it, 1 + clock.random.nextInt(4)) }
            14 -> worker?.reboot()
            else ->
                r.network.cut(
                    node.label,
                    if (clock.chance(0.5)) FakeStateService.NAME else FakeCloud.NAME,
                    clock.between(2000, 15_000),
                    clock.chance(0.5),
                )
        }
    }

    /** What strikes many at once: a share of the machines dies, hangs or is taken, or a zone falls away. */
    fun mass(kind: Int) {
        val up = r.cloud.workers.filter { it.present }

        fun some(share: Int) = up.filter { clock.random.nextInt(share) == 0 }
        when (kind) {
            0 -> some(15).forEach { r.cloud.kill(it.name) }
            1 -> some(12).forEach { it.hang(clock.between(10_000, 35_000)) }
            2 ->
                up.filter { it.spot && clock.chance(0.5) }.forEach { w ->
                    clock.after(clock.between(0, 5000)) { r.cloud.kill(w.name) }
                }
            3 -> cutZone(r.zones.last(), 47_000)
            4 -> r.nodes.forEach { crash(it, clock.between(200, 8000)) }
            5 -> r.nodes.forEachIndexed { i, n -> clock.after(i * 12_000L) { crash(n, 8000) } }
            6 ->
                r.nodes.filter { it.leads }.forEach { n ->
                    up.forEach { r.network.cut(n.label, it.name, 37_000, true) }
                }
            else -> throw IllegalArgumentException("kind $kind")
        }
    }

    /** Everything in [zone] goes on among itself; what it says to the rest is held back. */
    fun cutZone(zone: String, forMs: Long) {
        val inside =
            r.nodes.filterIndexed { i, _ -> i % 2 == 1 }.map { it.label } +
                r.cloud.workers
                    .filter { it.zone == zone }
                    .map { it.name }
        val outside =
            r.nodes.filterIndexed { i, _ -> i % 2 == 0 }.map { it.label } +
                r.cloud.workers
                    .filter { it.zone != zone }
                    .map { it.name } +
                listOf(FakeStateService.NAME, FakeCloud.NAME, Users.USERS)
        for (a in inside) for (b in outside) r.network.cut(a, b, forMs, true)
    }

    /** A controller loses the state service and its peers, while workers and users still reach it. */
    fun isolate(node: SimulatedController, forMs: Long, holds: Boolean) {
        r.network.cut(node.label, FakeStateService.NAME, forMs, holds)
        r.nodes.filter { it !== node }.forEach { r.network.cut(node.label, it.label, forMs, holds) }
    }

    /** A process ends and is back in no time, over and over, so that some of it falls into an election. */
    fun flap(node: SimulatedController, times: Int) {
        crash(node, clock.between(50, 500))
        if (times > 1) clock.after(clock.between(500, 3500)) { flap(node, times - 1) }
    }

    private fun crash(node: SimulatedController, backAfterMs: Long) {
        node.crash()
        clock.after(backAfterMs) { node.start() }
    }

    private companion object {
        const val KINDS = 16
    }
}
