package org.chalkhollow

import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.FakeWorker
import org.chalkhollow.simulation.FaultScenario
import org.chalkhollow.simulation.FaultScenario.Companion.START_MS
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** FaultInjection with machines, and of users, that meet others; every rule is checked after each step. */
class ConcurrentMachineFaultsTest {
    private fun crashLeader(s: FaultScenario, backMs: Long) {
        val node = s.leader() ?: return
        node.crash()
        s.clock.after(backMs) { node.start() }
    }

    private fun cut(s: FaultScenario, w: FakeWorker, forMs: Long, holds: Boolean) {
        for (n in s.r.nodes) s.r.network.cut(n.label, w.name, forMs, holds)
    }

    private fun deafen(s: FaultScenario, w: FakeWorker, forMs: Long) {
        for (n in s.r.nodes) s.r.network.cutOneWay(n.label, w.name, forMs)
    }

    // Cancellations once travelled only in answers to reports: nobody has any use for what runs until then.
    @Test
    fun `what is cancelled stops at once, not with the next report`() {
        val r = Simulation(3, leaseMs = 30_000, toldLeaseS = 30.0, reportMs = 9000)
        r.network.loss = 0.0
        r.network.late = 0.0
        r.begin(0, 1)
        var id = ""
        r.clock.after(12_000) {
            id =
                r.users.submit {
                    it.copy(
                        tasks = 6,
                        taskResources = Resources(2.0, 0.0, 1.0),
                        types = null,
                        zone = null,
                        together = false,
                        spread = false,
                        expectedS = 300.0,
                    )
                }
        }
        r.clock.runUntil(40_000)
        assertTrue(r.cloud.workers.sumOf { it.onMachine().size } == 6)
        r.users.cancel(id)
        r.clock.runUntil(41_500)
        assertEquals(0, r.cloud.workers.sumOf { it.onMachine().size })
        assertEquals(emptyList<String>(), r.rules.violations)
    }

    @ParameterizedTest
    @CsvSource("1,8000,true", "2,16000,false", "3,22000,true", "4,22000,false")
    fun `a team at its limit changes leaders while machines can't be asked and a job is called off`(
        seed: Long,
        leaseMs: Long,
        holds: Boolean,
    ) {
        val s = FaultScenario(seed, leaseMs)
        s.begin(jobs = 8, long = 0)
        val ids = ArrayList<String>()
        repeat(5) { s.at(6000L + it * 200) { ids.add(s.r.users.submit { j -> s.plain(j, "red").copy(tasks = 4) }) } }
        s.at(START_MS) { s.busy().take(4).forEach { cut(s, it, leaseMs - 4000 + 6000 * (seed % 3), holds) } }
        s.at(START_MS + 500) { crashLeader(s, 3000) }
        s.at(START_MS + 300 + seed % 5 * 700) { ids.take(2).forEach(s::cancel) }
        repeat(4) {
            s.at(START_MS + 1000 + it * 1500L) {
                s.r.users.submit { j ->
                    s.plain(j, "red").copy(tasks = 5, expectedS = 30.0)
                }
            }
        }
        s.at(START_MS + 9000) { ids.drop(2).take(1).forEach(s::cancel) }
        s.at(START_MS + 14_000) { crashLeader(s, 2000) }
        s.play(START_MS + 40_000)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `jobs bound to a zone, together or spread lose machines`(seed: Long) {
        val s = FaultScenario(seed)
        s.begin(jobs = 10, long = 3)
        repeat(3) { i ->
            s.at(7000L + i * 300) {
                s.r.users.submit { s.plain(it).copy(workload = "bound", tasks = 5, zone = "east", expectedS = 50.0) }
            }
            s.at(7100L + i * 300) {
                s.r.users.submit {
                    s
                        .plain(
                            it,
                        ).copy(workload = "together", tasks = 4, together = true, expectedS = 50.0)
                }
            }
            s.at(7200L + i * 300) {
                s.r.users.submit { s.plain(it).copy(workload = "spread", tasks = 5, spread = true, expectedS = 50.0) }
            }
        }
        s.at(START_MS) {
            s.r.cloud.workers
                .filter {
                    it.present && it.zone == "east" && s.clock.chance(0.7)
                }.forEach { s.r.cloud.kill(it.name) }
        }
        s.at(START_MS + 8000) {
            s.r.cloud.workers
                .filter {
                    it.present && it.zone == "west" && s.clock.chance(0.5)
                }.forEach { cut(s, it, 20_000, true) }
        }
        s.at(START_MS + 12_000) { crashLeader(s, 2000) }
        s.at(START_MS + 13_000) {
            s.r.cloud.workers
                .filter {
                    it.present && it.zone == "east" && s.clock.chance(0.5)
                }.forEach { s.r.cloud.kill(it.name) }
        }
        s.play(START_MS + 40_000)
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000", "4,16000")
    fun `machines that reach no controller are reached by direct commands`(seed: Long, leaseMs: Long) {
        val s = FaultScenario(seed, leaseMs)
        s.begin()
        s.at(START_MS) { s.busy().take(4).forEach { it.mute(leaseMs + 8000) } }
        s.at(START_MS + 1000) { s.cancelNow(3) }
        s.at(START_MS + 3000) { crashLeader(s, 3000) }
        s.at(START_MS + 6000) { s.cancelNow(1) }
        s.at(
            START_MS + 20_000,
        ) {
            s.r.cloud.workers
                .filter { it.present && s.clock.chance(0.4) }
                .forEach { it.mute(5000) }
        }
        s.play(START_MS + leaseMs + 20_000)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `cancellations, questions and repeated submissions meet the end of jobs`(seed: Long) {
        val s = FaultScenario(seed)
        s.r.users.cancelAtEnd = 0.6
        s.begin(jobs = 60, long = 3)
        s.at(START_MS) { s.r.users.odd(60_000) }
        s.play(START_MS + 70_000, servesAll = false) // most are called off at their end
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000")
    fun `a zone with workers and a controller is cut off for longer than the lease`(seed: Long, leaseMs: Long) {
        val s = FaultScenario(seed, leaseMs)
        s.begin()
        s.at(START_MS) { s.faults.cutZone("west", leaseMs + 12_000) }
        s.at(START_MS + 500) { s.cancelNow(2) }
        s.at(START_MS + leaseMs / 2) { s.cancelNow(2) }
        s.play(START_MS + leaseMs + 20_000)
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000", "4,16000", "418,22000")
    fun `commands and answers are held up for seconds, and machines hang and go on`(seed: Long, leaseMs: Long) {
        val s = FaultScenario(seed, leaseMs)
        s.begin()
        s.at(START_MS) { s.r.network.held = 0.25 }
        for (i in 0L..4L) s.at(START_MS + 1000 + i * 9000) { s.cancelNow(1, leaseMs - 2500) }
        s.at(START_MS + 15_000) { s.busy().forEach { if (s.clock.chance(0.5)) it.hang(s.clock.between(2000, 9000)) } }
        s.at(START_MS + 22_000) { crashLeader(s, 2000) }
        s.play(START_MS + 65_000)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `there is more work than room, urgent and not, over slow links`(seed: Long) {
        val s = FaultScenario(seed)
        s.r.network.late = 0.02
        s.r.network.loss = 0.01
        s.begin(jobs = 40, long = 4)
        repeat(14) { i ->
            s.at(START_MS + i * 2500L) {
                s.r.users.submit {
                    s.plain(it).copy(
                        workload =
                            if (i % 2 ==
                                0
                            ) {
                                "urgent"
                            } else {
                                "wide"
                            },
                        priority = if (i % 2 == 0) Priority.HIGH else Priority.BEST_EFFORT,
                        tasks = 8,
                        taskResources = Resources(3.0, 0.0, 4.0),
                        expectedS = 15.0,
                        checkpointS = 2.0,
                        saveS =
                            1.0 + seed % 5,
                    )
                }
            }
        }
        s.at(START_MS + 20_000) { crashLeader(s, 3000) }
        s.at(START_MS + 25_000) { s.cancelNow(2) }
        s.at(START_MS + 70_000) {
            s.r.network.late = 0.002
            s.r.network.loss = 0.002
        }
        s.play(START_MS + 100_000)
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000", "4,16000")
    fun `reports are held back until a new leader has acted`(seed: Long, leaseMs: Long) {
        val s = FaultScenario(seed, leaseMs)
        s.begin()
        for (at in listOf(-4000L, -800L, -100L)) {
            s.at(START_MS + at) {
                s.r.cloud.workers.filter { it.present }.forEach { w ->
                    w.holdReport(s.clock.between(2500, leaseMs + 12_000))
                }
            }
        }
        s.at(START_MS - 50) { s.cancelNow(2) }
        s.at(START_MS) { crashLeader(s, 4000) }
        s.at(START_MS + 4000) { s.busy().take(2).forEach { s.r.cloud.kill(it.name) } }
        s.at(START_MS + 9000) { s.cancelNow(1) }
        s.play(START_MS + leaseMs + 20_000)
    }

    @ParameterizedTest
    @CsvSource("1,8000,true", "2,16000,false", "3,22000,true", "4,22000,false")
    fun `a leader ends while machines with long tasks can't be reached or don't hear the new one`(
        seed: Long,
        leaseMs: Long,
        deaf: Boolean,
    ) {
        val s = FaultScenario(seed, leaseMs)
        s.begin()
        s.at(START_MS - 200) {
            s.busy().forEachIndexed { i, w ->
                if (i % 2 == 0) return@forEachIndexed
                if (deaf) {
                    deafen(s, w, leaseMs + 9000)
                } else {
                    cut(
                        s,
                        w,
                        if (i % 4 ==
                            1
                        ) {
                            leaseMs - 3000
                        } else {
                            leaseMs + 9000
                        },
                        true,
                    )
                }
            }
        }
        s.at(START_MS) { crashLeader(s, 5000) }
        s.at(START_MS + 2500) { s.cancelNow(2) }
        s.at(START_MS + 7000) { crashLeader(s, 1000) }
        s.play(START_MS + leaseMs + 25_000)
    }

    @ParameterizedTest
    @CsvSource("1,8000", "2,16000", "3,22000", "4,8000", "322,22000")
    fun `old reports come after newer ones, also of earlier sessions and attempts`(seed: Long, leaseMs: Long) {
        val s = FaultScenario(seed, leaseMs)
        s.r.network.copies = 0.05
        s.begin()
        for (i in 0L..9L) {
            s.at(START_MS + i * 4000) {
                s.r.cloud.workers.filter { it.present && s.clock.chance(0.5) }.forEach { w ->
                    w.holdReport(
                        s.clock.between(
                            1000,
                            leaseMs * 2,
                        ),
                    )
                }
            }
        }
        s.at(START_MS + 5000) { s.busy().take(2).forEach { it.reboot() } }
        s.at(START_MS + 7000) { s.cancelNow(2) }
        s.at(START_MS + 12_000) { s.busy().take(2).forEach { cut(s, it, leaseMs + 5000, true) } }
        s.at(START_MS + 16_000) { crashLeader(s, 2000) }
        s.at(START_MS + 30_000) { s.busy().take(2).forEach { it.reboot() } }
        s.play(START_MS + 40_000 + leaseMs * 2 + 45_000)
    }

    /**
     * A new leader gets a report of a machine's earlier session, then an old one of this session, then the machine's
     * own.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `old reports of two sessions reach a new leader before the machine's own`(seed: Long) {
        val s = FaultScenario(seed)
        s.r.network.loss = 0.0
        s.r.network.late = 0.0
        s.begin(jobs = 0, long = 6)
        s.clock.runUntil(15_000)
        val machine = s.busy().maxBy { it.onMachine().size }
        val first = machine.keepReport()
        machine.reboot()
        val second = machine.keepReport()
        s.clock.runUntil(START_MS)
        assertTrue(machine.onMachine().isNotEmpty(), "nothing began there again")
        cut(s, machine, 3500, holds = false)
        s.leader()?.crash()

        fun onceLed() {
            val leader = s.leader() ?: return s.clock.after(20) { onceLed() }
            s.clock.after(250) {
                first(leader)
                second(leader)
            }
        }
        s.clock.after(500) { onceLed() }
        s.clock.runUntil(START_MS + 30_000)
        s.holds()
    }
}
