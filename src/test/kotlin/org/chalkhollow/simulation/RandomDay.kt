package org.chalkhollow.simulation

import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.StateLimits

/** Plays a day of [jobs] random jobs and [faults] random faults on [simulation], until long after the last fault. */
fun playRandomDay(simulation: Simulation, faults: Int, jobs: Int = 40): Simulation {
    if (faults > 0) simulation.network.copies = 0.01
    simulation.begin(jobs, 150_000)
    FaultInjection(simulation).draw(faults, 10_000, 170_000)
    simulation.clock.after(210_000) { simulation.network.copies = 0.0 }
    simulation.rules.calmFrom = 250_000 // the last fault and the last late copy are over
    simulation.clock.runUntil(420_000)
    return simulation
}

/** Machines by the hundred that send a heartbeat every 4 s under a lease of 22 s. */
fun largeFleet(seed: Long, controllers: Int, machines: Int) =
    Simulation(
        seed,
        OperatorSettings(maxIdleS = 300.0),
        22_000,
        heartbeatMs = 4000,
        size = SimulationSize(controllers, capacity = machines + 50, scale = machines / 12),
        stateLimits = StateLimits(180.0, 40.0, 8192, 12),
    )
