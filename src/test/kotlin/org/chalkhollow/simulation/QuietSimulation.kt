package org.chalkhollow.simulation

import org.chalkhollow.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals

/** Has the network lose and delay nothing by chance. */
fun Simulation.withReliableNetwork(): Simulation =
    apply {
        network.loss = 0.0
        network.late = 0.0
    }

/** Adds [count] spot machines of the first type that run at once, in turn in [zones]. */
fun Simulation.addSpotMachines(count: Int, zones: List<String> = this.zones) {
    repeat(count) { cloud.add(types[0], zones[it % zones.size], true, 0) }
}

/** A simulation without chance faults at 12 s: its [machines] are up, it has a leader and no job yet. */
fun quietSimulation(seed: Long, patienceS: Double = 200.0, machines: Int = 6, capacity: Int = 14): Simulation {
    val options = OperatorSettings(maxIdleS = 900.0, maxPassedOverS = patienceS)
    val simulation = Simulation(seed, options, size = SimulationSize(capacity = capacity)).withReliableNetwork()
    simulation.begin(0, 1, machines, firstMs = 4000)
    simulation.clock.runUntil(12_000)
    return simulation
}

/** Three controllers after their first election, on a network that loses nothing; [before] runs before they start. */
fun electedSimulation(seed: Long, before: (Simulation) -> Unit = {}): Simulation {
    val simulation = Simulation(seed).withReliableNetwork()
    before(simulation)
    simulation.begin(0, 1)
    simulation.clock.runUntil(15_000)
    return simulation
}

/** No rule was broken, and no class or team of jobs was starved. */
fun Simulation.assertRulesHold() {
    assertEquals(emptyList<String>(), rules.violations)
    assertEquals(emptyList<String>(), rules.starved())
}
