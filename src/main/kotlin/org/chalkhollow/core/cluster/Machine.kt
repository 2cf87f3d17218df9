package org.chalkhollow.core.cluster

import it.unimi.dsi.fastutil.ints.IntOpenHashSet
import org.chalkhollow.core.fleet.Fleet
import org.chalkhollow.core.fleet.MachineReachability
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.Resources
import org.chalkhollow.model.TaskStatus

/** A machine as this leader knows it. */
class Machine(val id: Int, val name: String) {
    enum class State { BOOTING, UP, LOST, DELETING }

    var state = State.BOOTING
    var type = -1
    var zone = -1
    var spot = false
    var address = ""

    /** Whether what we say has lately reached it, see [MachineReachability]. */
    var reachable = false

    /** The last proof of that in this session, and when it was last asked directly. */
    var provedAt = NEVER
    var askedAt = NEVER

    /** Its reports are not answered, so that its session ends: only then is it certain what it will not do. */
    var quarantined = false

    /** Since when it reports while our answers do not reach it; [NEVER] while they do or while it says nothing. */
    var unreachableSince = NEVER

    /** When its rental was asked for, by our clock. */
    var bornAt = 0L
    var epoch = 0L
    var seq = -1L

    /** The newest report of this session that was answered; direct commands' replies count in [seq] only. */
    var answeredSeq = -1L
    var fencingToken = 0L

    /** When the last report that we answered came in; its lease ends at most this long after. */
    var answeredAt = NEVER
    var heartbeatAt = NEVER
    var noticeAt = NEVER

    /** It was listed by the cloud, and when last. */
    var listedAt = NEVER
    var lostAt = NEVER

    val attempts = ArrayList<Attempt>()

    /** Tasks reported that no attempt of ours explains and that must go. */
    var orphans: List<TaskStatus> = emptyList()
    val images = IntOpenHashSet()

    /** Images that some task here has run with; a worker keeps its cache when its lease lapses. */
    val held = IntOpenHashSet()
    var directBusy = false

    /** The task list that was last reconciled; an equal one is the same instance, see `HeartbeatReader`. */
    var reconciled: List<TaskStatus>? = null
    var idleSince = NEVER

    /** Jobs that failed here since a task last completed here. */
    val failedJobs = IntOpenHashSet()
    var draining = false

    /** Takes no new tasks while the others have room enough, so that it can be returned; see [Fleet]. */
    var cordoned = false

    /** As the cloud lists it. */
    var failed = false
    var listedStarting = false

    var fullUntil = NEVER

    /** Reports of sessions up to this one are from before the lease lapsed, and mean nothing. */
    var expiredEpoch = -1L

    // What the attempts that may be on it take; kept up to date, since rounds ask for it of every machine.
    private var usedCpus = 0.0
    private var usedGpus = 0.0
    private var usedMemoryGb = 0.0
    private var users = 0

    /** An attempt of this size may be on it from now on. */
    fun occupy(taskResources: Resources) {
        users++
        usedCpus += taskResources.cpus
        usedGpus += taskResources.gpus
        usedMemoryGb += taskResources.memoryGb
    }

    /** One that counted is certainly gone. */
    fun vacate(taskResources: Resources) {
        if (--users == 0) {
            usedCpus = 0.0 // no rounding errors add up
            usedGpus = 0.0
            usedMemoryGb = 0.0
            return
        }
        usedCpus -= taskResources.cpus
        usedGpus -= taskResources.gpus
        usedMemoryGb -= taskResources.memoryGb
    }

    /** What is left of it for new tasks. */
    fun room(types: List<MachineType?>): Resources {
        val all = types.getOrNull(type)?.room ?: return NOTHING
        return if (users ==
            0
        ) {
            all
        } else {
            Resources(all.cpus - usedCpus, all.gpus - usedGpus, all.memoryGb - usedMemoryGb)
        }
    }

    // Only within a placement round: the room that the round has not given away, and how the machine ranks for a job.
    var left = NOTHING
    var rank = 0

    val busy: Boolean get() = users > 0

    /** Whether nothing of its past is left to be seen to; what is over and merely not forgotten yet does not count. */
    val vacant: Boolean get() = attempts.all { it.finished }

    companion object {
        const val NEVER = Long.MIN_VALUE / 4
        val NOTHING = Resources(0.0, 0.0, 0.0)
    }
}
