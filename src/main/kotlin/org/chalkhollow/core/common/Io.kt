package org.chalkhollow.core.common

import org.chalkhollow.model.Change
import org.chalkhollow.model.Command
import org.chalkhollow.model.Condition
import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.KeyValue
import org.chalkhollow.model.KeyValuePage
import org.chalkhollow.model.ListedPage
import org.chalkhollow.model.MachineType
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.wire.MalformedMessageException
import org.chalkhollow.wire.UserCodec

/** The moment of an input: [steady] never jumps, [wall] is the time of day; both in milliseconds. */
data class Now(val steady: Long, val wall: Long)

/** What a user asks. */
sealed interface UserRequest {
    val jobId: String

    class Submit(val spec: JobSpec, val raw: ByteArray) : UserRequest {
        override val jobId get() = spec.id
    }

    /**
     * A submission that is malformed, but whose [jobId] can be read: it is never accepted, and is refused only once it
     * is certain that it does not repeat a job that was.
     */
    class Invalid(override val jobId: String, val raw: ByteArray, val why: String?) : UserRequest

    class Query(override val jobId: String) : UserRequest

    class Cancel(override val jobId: String) : UserRequest

    companion object {
        /** What [body] asks as a submission, or null when it is malformed and names no job. */
        fun ofSubmission(body: ByteArray): UserRequest? =
            try {
                Submit(UserCodec.job(body), body)
            } catch (e: MalformedMessageException) {
                UserCodec.idIn(body)?.let { Invalid(it, body, e.message) }
            }
    }
}

/** Everything that can happen to a controller. */
sealed interface Input {
    data object Tick : Input

    class User(val call: Int, val ask: UserRequest) : Input

    class Heartbeat(val call: Int, val heartbeat: WorkerHeartbeat) : Input

    /** A report that came while this controller did not lead, so that what it says was not read. */
    class UnreadHeartbeat(val call: Int) : Input

    class State(val ticket: Int, val reply: StateReply) : Input

    class Cloud(val ticket: Int, val reply: CloudReply) : Input

    class WorkerReply(val ticket: Int, val reply: CommandReply) : Input

    class Peer(val from: Int, val message: PeerMessage) : Input
}

/** Everything that a controller can want done. */
sealed interface Effect {
    class Response(val call: Int, val status: Int, val body: ByteArray?, val retryAfterS: Int = 0) : Effect

    class State(val ticket: Int, val op: StateOp) : Effect

    class Cloud(val ticket: Int, val op: CloudOp) : Effect

    class WorkerCommand(
        val ticket: Int,
        val address: String,
        val fencingToken: Long,
        val epoch: Long,
        val commands: List<Command>,
    ) : Effect

    class Send(val peer: Int, val message: PeerMessage) : Effect

    class Timer(val at: Long) : Effect

    /** Something of a kind took this long; for histograms. */
    class Timing(val kind: String, val ms: Long) : Effect

    class LogEvent(val level: Level, val text: String) : Effect

    enum class Level { ERROR, WARN, INFO, DEBUG }
}

/** Operations on the state service. */
sealed interface StateOp {
    data class Read(val key: String) : StateOp

    data class List(val prefix: String, val after: String?) : StateOp

    data class Commit(
        val conditions: kotlin.collections.List<Condition>,
        val changes: kotlin.collections.List<Change>,
    ) : StateOp
}

/** Replies of the state service. */
sealed interface StateReply {
    data class Found(val row: KeyValue) : StateReply

    data object Missing : StateReply

    data class Page(val rows: KeyValuePage) : StateReply

    data class Committed(val revision: Long) : StateReply

    data class Conflict(val failed: List<String>) : StateReply

    /** Certainly not executed. */
    data object Unavailable : StateReply

    /** Executed, not executed, or yet to be executed. */
    data object NoResponse : StateReply

    data class Rejected(val why: String) : StateReply
}

/** Operations of the cloud. */
sealed interface CloudOp {
    data object Catalog : CloudOp

    data class Machines(val after: String?) : CloudOp

    data class Rent(val request: String, val type: String, val zone: String, val spot: Boolean, val count: Int) :
        CloudOp

    data class Delete(val names: List<String>) : CloudOp
}

/** Replies of the cloud. */
sealed interface CloudReply {
    data class CatalogIs(val types: List<MachineType>) : CloudReply

    data class MachinesAre(val page: ListedPage) : CloudReply

    data class Rented(val names: List<String>) : CloudReply

    data object NoCapacity : CloudReply

    data object Deleted : CloudReply

    data object Unavailable : CloudReply

    data object NoResponse : CloudReply

    data class Rejected(val why: String) : CloudReply
}

/** Replies to direct commands; a refusal carries a report as well. */
sealed interface CommandReply {
    data class Executed(val heartbeat: WorkerHeartbeat) : CommandReply

    data class Refused(val heartbeat: WorkerHeartbeat) : CommandReply

    /** The connection was refused before anything was sent. */
    data object NotSent : CommandReply

    data object NoResponse : CommandReply
}
