package org.chalkhollow.simulation

import org.chalkhollow.settings.OperatorSettings
import org.junit.jupiter.api.Assertions.assertEquals

/** Turns random losses and long delays of messages off. */
fun Simulation.withReliableNetwork(): Simulation =
    apply {
        network.lossProbability = 0.0
        network.lateProbability = 0.0
    }

/** Adds [count] spot machines of the first type, in turn in [zones]; they are up at once. */
fun Simulation.addSpotMachines(count: Int, zones: List<String> = this.zones) {
    repeat(count) { cloud.add(types[0], zones[it % zones.size], true, 0) }
}

/** A simulation without random faults, run for 12 s: its [machines] are up, and it has a leader but no job. */
fun faultFreeSimulation(seed: Long, patienceS: Double = 200.0, machines: Int = 6, maxMachines: Int = 14): Simulation {
    val options = OperatorSettings(maxIdleS = 900.0, maxPassedOverS = patienceS)
    val simulation = Simulation(seed, options, size = SimulationSize(maxMachines = maxMachines)).withReliableNetwork()
    simulation.begin(0, 1, machines, controllerDelayMs = 4000)
    simulation.clock.runUntil(12_000)
    return simulation
}

/** A simulation without random faults, run until a leader is elected. [before] is called before the start. */
fun electedSimulation(seed: Long, before: (Simulation) -> Unit = {}): Simulation {
    val simulation = Simulation(seed).withReliableNetwork()
    before(simulation)
    simulation.begin(0, 1)
    simulation.clock.runUntil(15_000)
    return simulation
}

/** Asserts that no rule was violated, and that no class, team or size of job was starved. */
fun Simulation.assertRulesHold() {
    assertEquals(emptyList<String>(), rules.violations)
    assertEquals(emptyList<String>(), rules.starved())
}
