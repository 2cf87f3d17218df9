package org.chalkhollow.core.operations

import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.model.Team

/**
 * Builds the status that operators see: of this controller and, on the leader, of the cluster. Stateless. Called by the
 * controller for the `status` command.
 */
internal class StatusReport(
    private val label: String,
    private val peers: List<String>,
    private val teams: List<Team>,
    private val leadership: Leadership,
    private val quotas: Quotas,
    private val versions: ControllerVersions,
    private val jobReport: JobReport,
    private val fleetReport: FleetReport,
) {
    /** The status; [recordsLoaded] says whether this controller has loaded the stored records as the leader. */
    fun status(recordsLoaded: Boolean): StatusView {
        val leads = leadership.mayActAsLeader()
        return if (leads && recordsLoaded) leaderStatus() else controllerStatus(leads)
    }

    /** What every controller knows about itself and its peers. */
    private fun controllerStatus(leads: Boolean) =
        StatusView(
            label = label,
            leads = leads,
            leader = leader(leads),
            fencingToken = leadership.fencingToken,
            ready = false,
            controllers = controllers(),
            allNew = versions.allUpToDate,
        )

    private fun leaderStatus() =
        controllerStatus(leads = true).copy(
            ready = true,
            jobsKnown = jobReport.knownJobs,
            jobsOpen = jobReport.openJobs,
            classes = jobReport.classes(),
            teams = teams(),
            machines = fleetReport.machines(),
            services = jobReport.services(),
        )

    private fun leader(leads: Boolean): String? =
        if (leads) label else leadership.reachableLeader().takeIf { it >= 0 }?.let(peers::get)

    private fun controllers(): List<ControllerView> =
        versions.byLabel.map { (controller, version) -> ControllerView(controller, version) }

    private fun teams(): List<TeamView> =
        teams.mapIndexed { index, team ->
            TeamView(
                name = team.name,
                cpus = quotas.usedCpus(index),
                guaranteed = team.cpus,
                most = team.cpusMax,
            )
        }
}
