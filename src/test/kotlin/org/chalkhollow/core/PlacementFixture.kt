package org.chalkhollow.core

import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.common.Input
import org.chalkhollow.core.common.Now
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Team
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.simulation.Simulation

/**
 * The modules that placement works with, at time 0, with team `t` of [teamCpus] CPUs. The cloud's catalog lists the
 * machine type `small` of 8 CPUs; there are no machines and no jobs.
 */
internal class PlacementFixture(val options: OperatorSettings = OperatorSettings(), teamCpus: Double = 8.0) {
    val context = CoreContext(1).also { it.now = Now(0, 0) }
    val settings = Simulation(1).settings
    val names = Interners().apply { teams.intern("t") }
    val jobs = JobTable(context, names, settings.stateLimits)
    val quotas = Quotas(listOf(Team("t", teamCpus, teamCpus, 0.0, 0.0)))
    val reconciler = AttemptReconciler(context, jobs, quotas) { 1 }
    val fleet = Fleet(context, names, settings, options, "a", StaticMachines(context, settings.stateLimits))

    init {
        fleet.tick(leading = false, unplaced = emptyList(), mayScaleOut = false)
        val request = context.drain().filterIsInstance<Effect.Cloud>().single { it.op == CloudOp.Catalog }
        val small = MachineType("small", EIGHT_CPUS, 1.0, 20.0, 0.5, 0.2, 5.0, listOf("east", "west"))
        context.reply(Input.Cloud(request.ticket, CloudReply.Catalog(listOf(small))))
    }

    private companion object {
        val EIGHT_CPUS = Resources(8.0, 0.0, 64.0)
    }
}
