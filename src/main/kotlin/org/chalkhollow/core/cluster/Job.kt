package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.core.placement.Placement
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.JobState
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Shape
import java.util.BitSet

/** A job that is not over, or whose attempts are not all gone yet; indices stand for all names. */
class OpenJob(
    val entry: JobEntry,
    val spec: JobSpec,
    val team: Int,
    val image: Int,
    val types: IntOpenHashSet?,
    val zone: Int,
    val acceptedWall: Long,
) {
    val taskResources = spec.taskResources
    val done = BitSet()
    var doneCount = 0

    /** Tasks that are neither done nor possibly on a machine. */
    val ready = BitSet().apply { set(0, spec.tasks) }
    val live = Int2IntOpenHashMap()
    var running = 0
    var cancelling = false
    var sealing = false

    /** Pages of the done set that are not written yet, and the first tasks of those that exist in the state service. */
    val dirtyPages = BitSet()
    val writtenPages = IntOpenHashSet()
    var dirtySince = 0L

    /** Pages whose stored record reaches beyond them, and those that hold what it has there and are not durable yet. */
    val oversized = BitSet()
    val rewritten = BitSet()

    /** The state service refused a record of its progress, which is written again from this moment on. */
    var writeAfter = 0L

    /** Whether some of its progress is not written yet, and may be tried now. */
    fun progressDue(t: Long): Boolean = !dirtyPages.isEmpty && t >= writeAfter

    /** Nothing is placed before this moment, since tasks failed. */
    var notBefore = 0L
    var failures = 0

    /** When a task of it last failed on a machine, by machine. */
    private val failedAt = Int2LongOpenHashMap()

    fun failedOn(machine: Int, t: Long) {
        failedAt.put(machine, t)
    }

    /**
     * Whether a task of it failed on [machine] lately. What was wrong there may be over: an earlier version kept such a
     * machine from the job for good, and a job that had failed everywhere waited for ever beside machines with room.
     */
    fun avoids(machine: Int, t: Long): Boolean = failedAt.containsKey(machine) && t - failedAt.get(machine) < AVOID_MS

    /** Whether tasks of it failed on several machines lately. */
    fun failsAround(t: Long): Boolean = failedAt.size > 2 && failedAt.values.count { t - it < AVOID_MS } > 2

    /**
     * When a task of it was last placed by this leader, by the time of day, and the CPUs it is owed for having been
     * passed over.
     */
    var placedWall = acceptedWall
    var creditCpus = 0.0

    /** When nothing of it was left waiting last. */
    var allPlacedWall = acceptedWall
    var creditSinceWall = 0L

    /** The one machine type that can hold its tasks although others exist, or -1; see [Placement]. */
    var onlyType = -1

    /** Completed attempts whose completion is not durable yet. */
    val unrecorded = ArrayList<Attempt>()

    /** How many of its tasks this leader saw run from begin to end, and for how long in all. */
    var runs = 0
    var ranS = 0.0

    val gang: Boolean get() = spec.shape == Shape.GANG

    /** Its replicas run until it is cancelled; none is ever done. */
    val service: Boolean get() = spec.shape == Shape.SERVICE
    val complete: Boolean get() = doneCount == spec.tasks
    val cancelled: Boolean get() = entry.state == JobState.CANCELLED
    val placeable: Boolean get() = !cancelling && !complete && entry.state == JobState.OPEN && !ready.isEmpty

    /** Whether all its tasks have to be in one zone, or to be spread over zones. */
    val boundToZones: Boolean get() = spec.together || spec.spread

    /** CPUs of a task where it is counted how many may start; those that take hardly any count for a little. */
    val countedCpus: Double get() = maxOf(taskResources.cpus, MIN_COUNTED_CPUS)

    /** Whether a machine of this type could ever run a task of it. */
    fun fitsType(index: Int, type: MachineType): Boolean =
        (types == null || index in types) && taskResources.fitsIn(type.room)

    /**
     * Whether some of it has waited for so long that room kept for other work is no longer kept from it. An earlier
     * version kept it for ever, so that work waited beside machines with room for it.
     */
    fun waitsLong(wall: Long): Boolean = wall - allPlacedWall > KEPT_FROM_MS

    fun taken(index: Int) {
        live.addTo(index, 1)
        ready.clear(index)
    }

    fun released(index: Int) {
        val left = live.addTo(index, -1) - 1
        if (left <= 0) {
            live.remove(index)
            if (!done.get(index)) ready.set(index)
        }
    }

    fun markDone(index: Int): Boolean {
        if (index >= spec.tasks || done.get(index)) return false
        done.set(index)
        ready.clear(index)
        doneCount++
        return true
    }

    private companion object {
        const val AVOID_MS = 45_000L
        const val KEPT_FROM_MS = 60_000L
        const val MIN_COUNTED_CPUS = 0.1
    }
}

/** What stays of a job for ever: its state and its size. */
class JobEntry(val id: Int, var tasks: Int) {
    var state: JobState? = null
    var open: OpenJob? = null
}
