package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.model.TaskStatus

/**
 * What this leader knows about a machine: its state, its type and zone, and the attempts that may be on it. [lease],
 * [reachability], [cloud], [usage] and [availability] hold the rest; each of them says who writes it. `MachineTable`
 * creates machines. A machine that is confirmed gone is never used again.
 */
class Machine(val id: Int, val name: String, createdAtMs: Long = 0L) {
    /** LOST: the lease has expired, and it is not known whether the machine still exists. */
    enum class State { BOOTING, UP, LOST, DELETING }

    var state = State.BOOTING
        private set

    /** When the state became [State.LOST]. */
    var lostAtMs = NEVER
        private set

    /** Indices of its type and zone; [UNKNOWN] until the cloud or the worker reports them. */
    var type = UNKNOWN
        private set
    var zone = UNKNOWN
        private set
    var spot = false
        private set

    /** Where the worker receives direct commands; empty until a heartbeat contains it. */
    var address = ""

    val lease = WorkerLease()
    val reachability = Reachability()
    val cloud = CloudRecord(createdAtMs)
    val usage = ResourceUsage()
    val availability = Availability()

    // Written by `AttemptReconciler` and the other modules of the attempts package.

    val attempts = ArrayList<Attempt>()

    /** Tasks in the last heartbeat that match no known attempt; the worker must stop or forget them. */
    var orphans: List<TaskStatus> = emptyList()

    /** Images that the machine has, or will have once the tasks placed on it have fetched them. */
    val images = IntOpenHashSet()

    /** Images that a task on this machine has run with. A worker keeps its cached images when its lease expires. */
    val cachedImages = IntOpenHashSet()

    /** Whether a direct command still waits for its reply. */
    var commandInFlight = false

    /** The task list that was reconciled last. `HeartbeatReader` returns the same instance for an equal list. */
    var lastReconciledTasks: List<TaskStatus>? = null

    /** Indices of jobs that failed on this machine since a task last completed on it. */
    val failedJobs = IntOpenHashSet()

    /** No task is placed here before this time, because the worker rejected one for lack of free capacity. */
    var fullUntilMs = NEVER

    // Working values of the current placement round, meaningless after it.

    /** The free capacity that the round has not yet allocated. */
    var roundFreeCapacity = NO_RESOURCES

    /** The rank of the machine for the job that is being placed. */
    var roundRank = 0

    val isTypeKnown: Boolean get() = type != UNKNOWN

    /** Whether any attempt may be on the machine. */
    val busy: Boolean get() = !usage.isEmpty

    /** Whether the machine has no attempts, apart from finished ones that its worker still lists. */
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

    /** Also ends the worker epoch, so that later heartbeats of it are dropped. */
    fun markLost(since: Long) {
        state = State.LOST
        lostAtMs = since
        lease.expire()
    }

    /** The capacity that is not allocated; none while the type is unknown or missing in [types]. */
    fun freeCapacity(types: List<MachineType?>): Resources {
        val capacity = types.getOrNull(type)?.capacity ?: return NO_RESOURCES
        return usage.freeOf(capacity)
    }

    companion object {
        const val NEVER = Long.MIN_VALUE / 4
        const val UNKNOWN = -1
        val NO_RESOURCES = Resources(0.0, 0.0, 0.0)
    }
}
