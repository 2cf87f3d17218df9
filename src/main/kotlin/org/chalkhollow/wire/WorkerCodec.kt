package org.chalkhollow.wire

/** Why a task exited. */
enum class ExitCause { DONE, HALTED, ERROR, FULL, BUSY, NO_SUCH }

/** What a worker says of one task. */
data class TaskReport(val jobId: String, val index: Int, val attempt: Long, val phase: Phase, val cause: ExitCause?) {
    enum class Phase { FETCHING, RUNNING, SAVING, EXITED }
}

/** A worker's report. */
data class WorkerReport(
    val machine: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val session: Long,
    val seq: Long,
    val token: Long,
    val noticeS: Double?,
    val tasks: List<TaskReport>,
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
            "pulling" to TaskReport.Phase.FETCHING,
            "gathering" to TaskReport.Phase.FETCHING,
            "running" to TaskReport.Phase.RUNNING,
            "saving" to TaskReport.Phase.SAVING,
            "exited" to TaskReport.Phase.EXITED,
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

    fun report(bytes: ByteArray): WorkerReport {
        val f = Pack.decodeMap(bytes)
        return report(f, f.maps("pieces").map(::task))
    }

    internal fun report(f: Fields, tasks: List<TaskReport>) =
        WorkerReport(
            machine = f.text("host"),
            address = f.text("address"),
            type = f.text("flavour"),
            zone = f.text("site"),
            spot = f.flag("standby"),
            session = f.long("tenure"),
            seq = f.long("tally"),
            token = f.long("mandate"),
            noticeS = f.numberOrNull("warningS"),
            tasks = tasks,
        )

    internal fun task(f: Fields): TaskReport {
        val name = f.text("piece")
        val slash = name.lastIndexOf('/')
        val index = if (slash > 0) name.substring(slash + 1).toIntOrNull() ?: -1 else -1
        if (index < 0) throw Malformed("field piece is missing or invalid")
        val phase = phases[f.text("status")] ?: throw Malformed("field status is missing or invalid")
        return TaskReport(
            jobId = name.substring(0, slash),
            index = index,
            attempt = f.long("try"),
            phase = phase,
            cause = if (phase == TaskReport.Phase.EXITED) causes[f.textOrNull("cause")] ?: ExitCause.ERROR else null,
        )
    }

    fun commands(token: Long, commands: List<Command>): Map<String, Any?> =
        mapOf("mandate" to token, "orders" to commands.map(::order))

    /** The body of a direct command; it runs only while token and session match. */
    fun direct(token: Long, session: Long, commands: List<Command>): Map<String, Any?> =
        mapOf("mandate" to token, "tenure" to session, "orders" to commands.map(::order))

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
