package org.chalkhollow

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Resources
import org.chalkhollow.simulation.SimulatedController
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.faultFreeSimulation
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.UserCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against accepting services that can never run, and against controllers that disagree on which submissions are
 * rejected or malformed.
 */
class ServiceAdmissionTest {
    private fun statusOf(simulation: Simulation, node: SimulatedController, map: Map<String, Any?>): Int {
        var status = -1
        simulation.users.submitBody(Pack.encode(map), node) { status = it }
        simulation.clock.runUntil(simulation.clock.timeMs + 3000)
        return status
    }

    @Test
    fun `every controller rejects a service whose replicas can never all run`() {
        val simulation = faultFreeSimulation(5)
        val service =
            simulation.users.randomService().copy(
                team = "red",
                tasks = 5,
                taskResources = Resources(8.0, 0.0, 1.6),
            )
        for (node in simulation.nodes) {
            fun submit(number: Int, change: (JobSpec) -> JobSpec) =
                statusOf(
                    simulation,
                    node,
                    UserCodec.toMap(
                        change(service).copy(
                            id =
                                "j-" + (100 * number + simulation.nodes.indexOf(node)),
                        ),
                    ),
                )
            assertEquals(422, submit(1) { it.copy(tasks = 6) }, "48 of 40 CPUs")
            assertEquals(
                422,
                submit(2) { it.copy(tasks = 41, taskResources = Resources(1.0, 0.0, 1.0)) },
                "41 of 40 CPUs",
            )
            assertEquals(
                422,
                submit(3) { it.copy(tasks = 1, taskResources = Resources(17.0, 0.0, 1.6)) },
                "no machine has 17 CPUs",
            )
            assertEquals(
                422,
                submit(4) { it.copy(tasks = 1, taskResources = Resources(1.0, 0.0, 65.0)) },
                "no machine has 65 GB",
            )
            assertEquals(
                422,
                submit(5) {
                    it.copy(tasks = 1, taskResources = Resources(9.0, 0.0, 1.6), types = listOf("small"))
                },
                "a small machine has 8 CPUs",
            )
            assertEquals(422, submit(6) { it.copy(tasks = 1, team = "green") }, "no such team")
            assertEquals(201, submit(7) { it }, "40 of 40 CPUs")
            assertEquals(200, submit(7) { it }, "a repeated submission")
        }
    }

    @Test
    fun `every controller answers 400 to a service with a missing or invalid field`() {
        val simulation = faultFreeSimulation(6)
        val complete = UserCodec.toMap(simulation.users.randomService())
        val incomplete =
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
            ).map { complete - it }
        val invalid =
            listOf(
                "shape" to "services",
                "pieces" to 0,
                "pieces" to "3",
                "expectedS" to "long",
                "urgency" to "urgent",
                "vcpus" to -1.0,
            ).map { complete + it }
        assertTrue(simulation.nodes.count { it.leads } == 1 && simulation.nodes.size == 3)
        for (node in simulation.nodes) {
            for (map in incomplete + invalid) {
                assertEquals(
                    400,
                    statusOf(simulation, node, map),
                    "to ${node.label}: ${complete - map.keys} ${map.entries - complete.entries}",
                )
            }
        }
        for (node in simulation.nodes) {
            assertTrue(statusOf(simulation, node, complete - "dueS" - "flavours" - "site") in 200..201)
        }
    }
}
