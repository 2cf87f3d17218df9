package org.chalkhollow

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.SimulatedController
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.quietSimulation
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.UserCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which services are accepted, refused or malformed. */
class ServiceAdmissionTest {
    private fun answer(simulation: Simulation, node: SimulatedController, map: Map<String, Any?>): Int {
        var status = -1
        simulation.users.submitRaw(Pack.encode(map), node) { status = it }
        simulation.clock.runUntil(simulation.clock.time + 3000)
        return status
    }

    @Test
    fun `a service that can never run whole is refused, by every controller`() {
        val simulation = quietSimulation(5)
        val service =
            simulation.users.drawService().copy(
                team = "red",
                tasks = 5,
                taskResources = Resources(8.0, 0.0, 1.6),
            )
        for (node in simulation.nodes) {
            fun ask(nr: Int, change: (JobSpec) -> JobSpec) =
                answer(
                    simulation,
                    node,
                    UserCodec.toMap(
                        change(service).copy(
                            id =
                                "j-" + (100 * nr + simulation.nodes.indexOf(node)),
                        ),
                    ),
                )
            assertEquals(422, ask(1) { it.copy(tasks = 6) }, "48 of 40 CPUs")
            assertEquals(422, ask(2) { it.copy(tasks = 41, taskResources = Resources(1.0, 0.0, 1.0)) }, "41 of 40 CPUs")
            assertEquals(
                422,
                ask(3) { it.copy(tasks = 1, taskResources = Resources(17.0, 0.0, 1.6)) },
                "no machine has 17 CPUs",
            )
            assertEquals(
                422,
                ask(4) { it.copy(tasks = 1, taskResources = Resources(1.0, 0.0, 65.0)) },
                "no machine has 65 GB",
            )
            assertEquals(
                422,
                ask(5) {
                    it.copy(tasks = 1, taskResources = Resources(9.0, 0.0, 1.6), types = listOf("small"))
                },
                "a small machine has 8 CPUs",
            )
            assertEquals(422, ask(6) { it.copy(tasks = 1, team = "green") }, "no such team")
            assertEquals(201, ask(7) { it }, "40 of 40 CPUs")
            assertEquals(200, ask(7) { it }, "a repetition")
        }
    }

    @Test
    fun `a service that lacks a field or has an invalid one is malformed, also for a follower`() {
        val simulation = quietSimulation(6)
        val whole = UserCodec.toMap(simulation.users.drawService())
        val lacking =
            listOf(
                "nameId",
                "workload",
                "owner",
                "shape",
                "urgency",
                "pieces",
                "vcpus",
                "cards",
                "memoryGb",
                "bundle",
                "pullGb",
                "together",
                "spread",
                "standby",
                "expectedS",
                "snapshotS",
                "flushS",
            ).map { whole - it }
        val invalid =
            listOf(
                "shape" to "services",
                "pieces" to 0,
                "pieces" to "3",
                "expectedS" to "long",
                "urgency" to "urgent",
                "vcpus" to -1.0,
            ).map { whole + it }
        assertTrue(simulation.nodes.count { it.leads } == 1 && simulation.nodes.size == 3)
        for (node in simulation.nodes) {
            for (map in lacking + invalid) {
                assertEquals(
                    400,
                    answer(simulation, node, map),
                    "to ${node.label}: ${whole - map.keys} ${map.entries - whole.entries}",
                )
            }
        }
        for (node in simulation.nodes) {
            assertTrue(answer(simulation, node, whole - "dueS" - "flavours" - "site") in 200..201)
        }
    }
}
