package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.model.TaskStatus

/**
 * A machine as this leader knows it: its state, what kind of machine it is, and the attempts that may be on it. Its
 * concerns are objects of their own, each of which says who changes it: [lease], [reachability], [cloud], [usage],
 * [availability]. `MachineTable` makes machines; a machine that is certainly gone is never in use again.
 */
class Machine(val id: Int, val name: String, createdAtMs: Long = 0L) {
    /** LOST: the lease has expired, and whether the machine still exists is not known. */
    enum class State { BOOTING, UP, LOST, DELETING }

    var state = State.BOOTING
        private set

    /** When it was [State.LOST]. */
    var lostAtMs = NEVER
        private set

    /** Indices of its type and zone; [UNKNOWN] until the cloud or its worker names them. */
    var type = UNKNOWN
        private set
    var zone = UNKNOWN
        private set
    var spot = false
        private set

    /** Where its worker takes direct commands; empty while that is not known. */
    var address = ""

    val lease = WorkerLease()
    val reachability = Reachability()
    val cloud = CloudRecord(createdAtMs)
    val usage = ResourceUsage()
    val availability = Availability()

    // What follows belongs to `AttemptReconciler` and the modules beside it.

    val attempts = ArrayList<Attempt>()

    /** Tasks in heartbeats that no attempt of ours explains and that must be stopped. */
    var orphans: List<TaskStatus> = emptyList()

    /** Images that are on it, or will be when the tasks that were sent there have fetched them. */
    val images = IntOpenHashSet()

    /** Images that some task here has run with; a worker keeps its cache when its lease expires. */
    val cachedImages = IntOpenHashSet()

    /** Whether a direct command has no reply yet. */
    var commandInFlight = false

    /** The task list that was last reconciled; an equal one is the same instance, see `HeartbeatReader`. */
    var lastReconciledTasks: List<TaskStatus>? = null

    /** Jobs that failed here since a task last completed here. */
    val failedJobs = IntOpenHashSet()

    /** No task is placed here until then, since its worker had no room for one. */
    var fullUntilMs = NEVER

    // Scratch of the placement round under way, without meaning after it.

    /** The room that the round has not given away. */
    var roundFreeCapacity = NO_RESOURCES

    /** How the machine ranks for the job that is being placed. */
    var roundRank = 0

    val isTypeKnown: Boolean get() = type != UNKNOWN

    /** Whether some attempt may be on it. */
    val busy: Boolean get() = !usage.isEmpty

    /** Whether nothing on it needs attention; what has ended and is merely not forgotten yet does not count. */
    val isIdle: Boolean get() = attempts.all { it.finished }

    fun describe(machineType: Int, inZone: Int, isSpot: Boolean) {
        type = machineType
        zone = inZone
        spot = isSpot
    }

    fun markUp() {
        state = State.UP
    }

    fun markDeleting() {
        state = State.DELETING
    }

    /** Whatever its worker still says belongs to an epoch that has ended. */
    fun markLost(since: Long) {
        state = State.LOST
        lostAtMs = since
        lease.expire()
    }

    /** What is left of it for new tasks. */
    fun freeCapacity(types: List<MachineType?>): Resources {
        val capacity = types.getOrNull(type)?.room ?: return NO_RESOURCES
        return usage.freeOf(capacity)
    }

    companion object {
        const val NEVER = Long.MIN_VALUE / 4
        const val UNKNOWN = -1
        val NO_RESOURCES = Resources(0.0, 0.0, 0.0)
    }
}
