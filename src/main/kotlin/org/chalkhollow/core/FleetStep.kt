package org.chalkhollow.core

import org.chalkhollow.core.attempts.WorkerCommandSender
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.MS_PER_S
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.leadership.Leadership
import org.chalkhollow.core.placement.Placement

/** Decides when the periodic work on the fleet runs, and whether the fleet may scale out. Called by [PeriodicTasks]. */
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
    private val heartbeatWaitMs = heartbeatIntervalS * HEARTBEAT_WAIT_INTERVALS * MS_PER_S
    private var nextRunAtMs = 0L

    fun tick() {
        val leading = leadership.role == Leadership.Role.LEADER && term.recordsLoaded
        if (leading && leadership.mayActAsLeader()) fleet.expireLeases()
        if (context.steady >= nextRunAtMs || leading && fleet.mayScaleOutMore) updateFleet(leading)
    }

    private fun updateFleet(leading: Boolean) {
        nextRunAtMs = context.steady + INTERVAL_MS + context.overload.tickDelayMs * EXTRA_MS_PER_TICK_DELAY_MS
        if (leading && leadership.mayActAsLeader()) {
            commands.advanceFencingTokenIfNeeded()
            commands.probeUnconfirmedMachines()
        }
        // Checks again whether this controller may act as the leader: advancing the fencing token ends the term.
        fleet.tick(
            leading && leadership.mayActAsLeader(),
            placement.unplaced,
            mayScaleOut(),
            placement.urgentHeadroomCpus(),
        )
    }

    /**
     * A new leader waits for the heartbeats of the machines before it scales out. The very first leader has no machines
     * of an earlier leader to wait for. It may scale out as soon as every machine that the cloud lists as up has sent a
     * heartbeat, or at once if there are none.
     */
    private fun mayScaleOut(): Boolean {
        if (!staticMachines.isKnown) return false
        val hasWaitedForHeartbeats = context.steady - term.startedAtMs > heartbeatWaitMs
        return hasWaitedForHeartbeats || staticMachines.isFirstLeader && fleet.hasHeartbeatFromAllListed()
    }

    private companion object {
        const val INTERVAL_MS = 500L

        /** Milliseconds by which the interval grows for each millisecond of tick delay. */
        const val EXTRA_MS_PER_TICK_DELAY_MS = 4

        /** Within this many heartbeat intervals, every machine that can reach a new leader has sent it a heartbeat. */
        const val HEARTBEAT_WAIT_INTERVALS = 2
    }
}
