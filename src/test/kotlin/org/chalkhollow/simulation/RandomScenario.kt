package org.chalkhollow.simulation

import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.StateLimits

/** Runs [simulation] with [jobs] random jobs and [faults] random faults until long after the last fault. */
fun runRandomScenario(simulation: Simulation, faults: Int, jobs: Int = 40): Simulation {
    if (faults > 0) simulation.network.copyProbability = 0.01
    simulation.begin(jobs, 150_000)
    FaultInjection(simulation).injectRandom(faults, 10_000, 170_000)
    simulation.clock.after(210_000) { simulation.network.copyProbability = 0.0 }
    simulation.rules.faultFreeFromMs = 250_000 // the last fault and the last late copy are over
    simulation.clock.runUntil(420_000)
    return simulation
}

/** A simulation for hundreds of [machines] that send a heartbeat every 4 s and have a lease of 22 s. */
fun largeFleet(seed: Long, controllers: Int, machines: Int) =
    Simulation(
        seed,
        OperatorSettings(maxIdleS = 300.0),
        22_000,
        heartbeatMs = 4000,
        size = SimulationSize(controllers, maxMachines = machines + 50, limitFactor = machines / 12),
        stateLimits = StateLimits(180.0, 40.0, 8192, 12),
    )
