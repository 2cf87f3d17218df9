package org.chalkhollow.wire

import org.chalkhollow.model.Command
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.TaskStatus
import org.chalkhollow.model.WorkerHeartbeat

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
        if (index < 0) throw MalformedMessageException("field piece is missing or invalid")
        val phase = phases[f.text("status")] ?: throw MalformedMessageException("field status is missing or invalid")
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
