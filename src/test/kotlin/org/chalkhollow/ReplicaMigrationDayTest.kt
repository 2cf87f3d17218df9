package org.chalkhollow

import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.FakeWorker
import org.chalkhollow.simulation.Simulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Replicas leave machines that have to be emptied one at a time, and not before there is room for them elsewhere. */
class ReplicaMigrationDayTest {
    /** A service on spot machines, of which there are no more to be rented. */
    private class Day(seed: Long, machines: Int, tasks: Int, taskResources: Resources, spread: Boolean = true) {
        val r = Simulation(seed, OperatorSettings(idleReturnS = 900.0), capacity = machines)
        val id: String

        init {
            r.network.loss = 0.0
            r.network.late = 0.0
            r.begin(0, 1, machines = 0, firstMs = 4000)
            repeat(machines) { r.cloud.add(r.types[0], r.zones[it % 2], true, 0) }
            r.clock.runUntil(12_000)
            id =
                r.users.submitService {
                    it.copy(
                        tasks = tasks,
                        taskResources = taskResources,
                        spread = spread,
                        spotAllowed = true,
                    )
                }
            r.rules.calmFrom = READY_MS
            r.clock.runUntil(READY_MS)
            assertEquals(tasks, r.rules.services.up(id))
        }

        fun replicasOn(w: FakeWorker) = w.onMachine().filter { it.job == id }

        fun mostLoaded(): FakeWorker = r.cloud.workers.maxBy { replicasOn(it).size }

        fun takeIn(w: FakeWorker, ms: Long) {
            w.noticeAt = r.clock.time + ms
            r.clock.after(ms) { r.cloud.kill(w.name) }
        }

        fun submitBatch(priority: Priority, tasks: Int, cpus: Double, expectedS: Double): String {
            val id = "j-${r.clock.time + 1}"
            r.users.submit { drawn ->
                drawn.copy(
                    id = id,
                    team = "blue",
                    workload = "batch",
                    priority = priority,
                    tasks = tasks,
                    taskResources = Resources(cpus, 0.0, 1.0),
                    types = null,
                    zone = null,
                    together = false,
                    spread = false,
                    spotAllowed = true,
                    expectedS = expectedS,
                    checkpointS = 0.0,
                    dueS = null,
                )
            }
            return id
        }

        fun holds() {
            assertEquals(emptyList<String>(), r.rules.violations)
            assertEquals(r.users.spec(id)?.tasks, r.rules.services.up(id))
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a notice that leaves time moves one replica after the other`(seed: Long) {
        val day = Day(seed, machines = 6, tasks = 8, taskResources = Resources(1.0, 0.0, 1.0))
        val taken = day.mostLoaded()
        val replicas = day.replicasOn(taken).size
        assertTrue(replicas > 1, "only $replicas replicas on ${taken.name}")
        val starts = day.r.rules.starts
        day.takeIn(taken, 40_000)
        day.r.clock.runUntil(READY_MS + 39_000)
        assertEquals(0, day.replicasOn(taken).size, "seed $seed")
        day.holds()
        assertEquals(starts + replicas, day.r.rules.starts)
        assertEquals(
            1,
            day.r.rules.services
                .mostDownAtOnce(day.id, READY_MS),
            "seed $seed",
        )
        day.r.clock.runUntil(READY_MS + 60_000)
        day.holds()
    }

    // Replicas on a machine set aside stayed there for good, and it was never returned.
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a faulty machine is emptied one replica after the other`(seed: Long) {
        val day = Day(seed, machines = 6, tasks = 8, taskResources = Resources(1.0, 0.0, 1.0))
        val faulty = day.mostLoaded()
        assertTrue(day.replicasOn(faulty).size > 1)
        faulty.sick = true // what starts there from now on fails; the replicas run on
        repeat(4) { i -> day.r.clock.after(i * 2500L) { day.submitBatch(Priority.HIGH, 12, 2.0, 4.0) } }
        day.r.clock.runUntil(READY_MS + 60_000)
        assertEquals(0, day.replicasOn(faulty).size, "seed $seed")
        day.holds()
        assertEquals(
            1,
            day.r.rules.services
                .mostDownAtOnce(day.id, READY_MS),
            "seed $seed",
        )
        assertTrue(day.r.cloud.worker(faulty.name) == null, "${faulty.name} is still rented")
    }

    // Every replica was stopped as soon as the notice came, though nothing else had room for it.
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a replica for which there is no room runs until the notice is nearly over`(seed: Long) {
        val day = Day(seed, machines = 2, tasks = 2, taskResources = Resources(4.0, 0.0, 1.0))
        day.submitBatch(Priority.PRODUCTION, 2, 4.0, 300.0)
        day.r.clock.runUntil(READY_MS + 15_000)
        val taken = day.mostLoaded()
        day.takeIn(taken, 15_000)
        day.r.clock.runUntil(READY_MS + 15_000 + 12_500)
        assertEquals(emptyList<String>(), day.r.rules.violations)
        assertEquals(1, day.replicasOn(taken).size, "seed $seed: it was stopped without a place to go")
        assertEquals(
            2,
            day.r.rules.services
                .up(day.id),
        )
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `room made by stopping batch work goes to the replica that moves`(seed: Long) {
        val day = Day(seed, machines = 4, tasks = 4, taskResources = Resources(2.0, 0.0, 1.0))
        repeat(3) { i -> day.r.clock.after(i * 500L) { day.submitBatch(Priority.HIGH, 10, 2.0, 200.0) } }
        day.r.clock.runUntil(READY_MS + 15_000)
        val taken = day.mostLoaded()
        day.takeIn(taken, 30_000)
        day.r.clock.runUntil(READY_MS + 44_000)
        assertEquals(0, day.replicasOn(taken).size, "seed $seed")
        assertEquals(emptyList<String>(), day.r.rules.violations)
        assertEquals(
            4,
            day.r.rules.services
                .up(day.id),
        )
        val down =
            day.r.rules.services
                .longestDownMs(day.id, READY_MS + 15_000)
        assertTrue(down <= REACT_MS + FETCH_MS, "seed $seed: down for $down ms")
        assertEquals(
            1,
            day.r.rules.services
                .mostDownAtOnce(day.id, READY_MS + 15_000),
            "seed $seed",
        )
    }

    private companion object {
        const val READY_MS = 25_000L

        /** A stop, the report of its end, a marker and a start; then the image. */
        const val REACT_MS = 1500L
        const val FETCH_MS = 3000L
    }
}
