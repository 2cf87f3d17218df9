package org.chalkhollow.wire

/** Why a task exited. */
enum class ExitCause { DONE, HALTED, ERROR, FULL, BUSY, NO_SUCH }

/** What a worker says of one task. */
data class TaskStatus(val jobId: String, val index: Int, val attempt: Long, val phase: Phase, val cause: ExitCause?) {
    enum class Phase { FETCHING, RUNNING, SAVING, EXITED }
}

/** A worker's report. */
data class WorkerHeartbeat(
    val machine: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val epoch: Long,
    val seq: Long,
    val fencingToken: Long,
    val noticeS: Double?,
    val tasks: List<TaskStatus>,
)

/** Commands to a worker. */
sealed interface Command {
    val jobId: String
    val index: Int
    val attempt: Long

    data class Start(override val jobId: String, override val index: Int, override val attempt: Long) : Command

    data class Stop(
        override val jobId: String,
        override val index: Int,
        override val attempt: Long,
        val graceS: Double,
    ) : Command

    data class Forget(override val jobId: String, override val index: Int, override val attempt: Long) : Command
}

/** The workers' side of the protocol. */
object WorkerCodec {
    private val phases =
        mapOf(
            "pulling" to TaskStatus.Phase.FETCHING,
            "gathering" to TaskStatus.Phase.FETCHING,
            "running" to TaskStatus.Phase.RUNNING,
            "saving" to TaskStatus.Phase.SAVING,
            "exited" to TaskStatus.Phase.EXITED,
        )
    private val causes =
        mapOf(
            "done" to ExitCause.DONE,
            "halted" to ExitCause.HALTED,
            "error" to ExitCause.ERROR,
            "full" to ExitCause.FULL,
            "busy" to ExitCause.BUSY,
            "peers" to ExitCause.HALTED,
            "incomplete" to ExitCause.HALTED,
            "no_such" to ExitCause.NO_SUCH,
        )

    fun heartbeat(bytes: ByteArray): WorkerHeartbeat {
        val f = Pack.decodeMap(bytes)
        return heartbeat(f, f.maps("pieces").map(::task))
    }

    internal fun heartbeat(f: Fields, tasks: List<TaskStatus>) =
        WorkerHeartbeat(
            machine = f.text("host"),
            address = f.text("address"),
            type = f.text("flavour"),
            zone = f.text("site"),
            spot = f.flag("standby"),
            epoch = f.long("tenure"),
            seq = f.long("tally"),
            fencingToken = f.long("mandate"),
            noticeS = f.numberOrNull("warningS"),
            tasks = tasks,
        )

    internal fun task(f: Fields): TaskStatus {
        val name = f.text("piece")
        val slash = name.lastIndexOf('/')
        val index = if (slash > 0) name.substring(slash + 1).toIntOrNull() ?: -1 else -1
        if (index < 0) throw Malformed("field piece is missing or invalid")
        val phase = phases[f.text("status")] ?: throw Malformed("field status is missing or invalid")
        return TaskStatus(
            jobId = name.substring(0, slash),
            index = index,
            attempt = f.long("try"),
            phase = phase,
            cause = if (phase == TaskStatus.Phase.EXITED) causes[f.textOrNull("cause")] ?: ExitCause.ERROR else null,
        )
    }

    fun commands(fencingToken: Long, commands: List<Command>): Map<String, Any?> =
        mapOf("mandate" to fencingToken, "orders" to commands.map(::order))

    /** The body of a direct command; it runs only while token and session match. */
    fun direct(fencingToken: Long, epoch: Long, commands: List<Command>): Map<String, Any?> =
        mapOf("mandate" to fencingToken, "tenure" to epoch, "orders" to commands.map(::order))

    fun redirect(label: String): Map<String, Any?> = mapOf("overseer" to label)

    private fun order(c: Command): Map<String, Any?> {
        val verb =
            when (c) {
                is Command.Start -> "start"
                is Command.Stop -> "kill"
                is Command.Forget -> "forget"
            }
        val map = LinkedHashMap<String, Any?>()
        map["verb"] = verb
        map["piece"] = c.jobId + "/" + c.index
        map["try"] = c.attempt
        if (c is Command.Stop) map["windDownS"] = c.graceS
        return map
    }
}
