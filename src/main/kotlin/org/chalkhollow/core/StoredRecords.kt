package org.chalkhollow.core

import org.chalkhollow.core.attempts.AttemptReconciler
import org.chalkhollow.core.attempts.DispatchLog
import org.chalkhollow.core.attempts.DispatchMarkerRecord
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.common.Effect
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.ImageLocations
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.jobs.JobRecord
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.ProgressPageRecord
import org.chalkhollow.core.jobs.Quotas
import org.chalkhollow.model.KeyValue
import org.chalkhollow.wire.MalformedMessageException

/**
 * Rebuilds the state of a new leader's modules from the records that earlier leaders wrote to the state service. Has no
 * state of its own. [LeaderTerm] calls it when a term starts.
 */
internal class StoredRecords(
    private val context: CoreContext,
    private val jobs: JobTable,
    private val quotas: Quotas,
    private val reconciler: AttemptReconciler,
    private val staticMachines: StaticMachines,
    private val fleet: Fleet,
    private val images: ImageLocations,
    private val dispatch: DispatchLog,
) {
    /** Clears the state of every module for the term with [fencingToken]. */
    fun reset(fencingToken: Long) {
        jobs.clear()
        quotas.clear()
        reconciler.clear()
        staticMachines.start(fencingToken)
        fleet.start(fencingToken)
        images.start()
        dispatch.start(fencingToken)
    }

    /** Passes [row] to the module that owns its key. If it cannot be decoded, logs an error and returns false. */
    fun load(row: KeyValue): Boolean =
        try {
            loadByKey(row)
            true
        } catch (e: MalformedMessageException) {
            val text = "cannot decode stored record ${row.key}: ${e.message}; loading continues without it"
            context.emit(Effect.LogEvent(Effect.Level.ERROR, text))
            false
        }

    private fun loadByKey(row: KeyValue) =
        when {
            row.key.startsWith(JobRecord.KEY_PREFIX) -> jobs.loadJob(row)
            row.key.startsWith(ProgressPageRecord.KEY_PREFIX) -> jobs.loadPage(row)
            row.key == StaticMachines.KEY -> staticMachines.load(row)
            row.key.startsWith(ImageLocations.KEY) -> images.load(row)
            else -> dispatch.load(row, jobs)
        }

    /** All records are loaded. */
    fun complete() {
        jobs.finishLoading()
        val outcomeUnknownCount = fleet.machines.sumOf { it.attempts.size }
        context.info(
            "loaded ${jobs.size} jobs (${jobs.open.size} open) and $outcomeUnknownCount attempts with unknown outcome",
        )
    }

    companion object {
        /**
         * Key prefixes that a candidate reads before it may lead. Jobs come first because the other records refer to
         * them.
         */
        val PREFIXES =
            listOf(
                JobRecord.KEY_PREFIX,
                ProgressPageRecord.KEY_PREFIX,
                DispatchMarkerRecord.PREFIX,
                StaticMachines.PREFIX,
            )
    }
}
