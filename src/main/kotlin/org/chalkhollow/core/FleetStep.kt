package org.chalkhollow.core

import org.chalkhollow.core.attempts.WorkerCommandSender
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.placement.Placement

/** Decides when the fleet is looked after, and whether it may scale out. Called by [PeriodicTasks]. */
internal class FleetStep(
    private val context: CoreContext,
    private val leadership: Leadership,
    private val term: LeaderTerm,
    private val fleet: Fleet,
    private val staticMachines: StaticMachines,
    private val placement: Placement,
    private val commands: WorkerCommandSender,
    heartbeatIntervalS: Double,
) {
    private val listenMs = heartbeatIntervalS * LISTEN_HEARTBEATS * MS_PER_S
    private var nextAt = 0L

    fun tick() {
        val leading = leadership.role == Leadership.Role.LEADER && term.recordsLoaded
        if (leading && leadership.entitled()) fleet.expireLeases()
        if (context.steady >= nextAt || leading && fleet.mayScaleOutMore) lookAfterFleet(leading)
    }

    private fun lookAfterFleet(leading: Boolean) {
        nextAt = context.steady + INTERVAL_MS + context.overload.tickDelayMs * DELAY_PER_LATE_MS
        if (leading && leadership.entitled()) {
            commands.advanceFencingTokenIfNeeded()
            commands.probeDoubtful()
        }
        // Whether it is entitled is asked anew: advancing the fencing token ends the term.
        fleet.tick(leading && leadership.entitled(), placement.unplaced, mayScaleOut(), placement.urgentHeadroomCpus())
    }

    /**
     * A new leader waits for heartbeats of the machines before it scales out. The first leader of all has no earlier
     * leader's machines to wait for: once those that were there before have sent heartbeats, or when there are none,
     * what is missing is requested at once.
     */
    private fun mayScaleOut(): Boolean {
        if (!staticMachines.known) return false
        val listenedLongEnough = context.steady - term.startedAtMs > listenMs
        return listenedLongEnough || staticMachines.isFirstLeader && fleet.heardFromAllListed()
    }

    private companion object {
        const val INTERVAL_MS = 500L

        /** For each millisecond that ticks are late, the next look at the fleet waits so many more. */
        const val DELAY_PER_LATE_MS = 4

        /** Within so many heartbeat intervals every machine that can reach a new leader has sent it a heartbeat. */
        const val LISTEN_HEARTBEATS = 2
    }
}
