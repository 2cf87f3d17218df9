package org.chalkhollow.wire

import org.chalkhollow.model.Command
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.TaskStatus
import org.chalkhollow.model.WorkerHeartbeat

/**
 * Decodes workers' heartbeats and encodes the commands to workers. Functions that decode throw
 * [MalformedMessageException].
 */
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
            "halted" to ExitCause.STOPPED,
            "error" to ExitCause.ERROR,
            "full" to ExitCause.NO_FREE_CAPACITY,
            "busy" to ExitCause.OTHER_ATTEMPT_PRESENT,
            "peers" to ExitCause.STOPPED,
            "incomplete" to ExitCause.STOPPED,
            "no_such" to ExitCause.UNKNOWN_TASK,
        )

    fun heartbeat(bytes: ByteArray): WorkerHeartbeat {
        val fields = Pack.decodeMap(bytes)
        return heartbeat(fields, fields.maps("pieces").map(::task))
    }

    internal fun heartbeat(fields: Fields, tasks: List<TaskStatus>) =
        WorkerHeartbeat(
            machine = fields.text("host"),
            address = fields.text("address"),
            type = fields.text("flavour"),
            zone = fields.text("site"),
            spot = fields.flag("standby"),
            epoch = fields.long("tenure"),
            seq = fields.long("tally"),
            fencingToken = fields.long("mandate"),
            spotNoticeS = fields.numberOrNull("warningS"),
            tasks = tasks,
        )

    internal fun task(fields: Fields): TaskStatus {
        val name = fields.text("piece")
        val slash = name.lastIndexOf('/')
        val index = if (slash > 0) name.substring(slash + 1).toIntOrNull() ?: -1 else -1
        if (index < 0) Fields.invalid("piece")
        val phase = phases[fields.text("status")] ?: Fields.invalid("status")
        return TaskStatus(
            jobId = name.substring(0, slash),
            index = index,
            attempt = fields.long("try"),
            phase = phase,
            cause =
                if (phase ==
                    TaskStatus.Phase.EXITED
                ) {
                    causes[fields.textOrNull("cause")] ?: ExitCause.ERROR
                } else {
                    null
                },
        )
    }

    /** The response to a heartbeat. */
    fun commands(fencingToken: Long, commands: List<Command>): Map<String, Any?> =
        mapOf("mandate" to fencingToken, "orders" to commands.map(::order))

    /** The body of a direct command. The worker executes it only if the fencing token and its epoch match. */
    fun direct(fencingToken: Long, epoch: Long, commands: List<Command>): Map<String, Any?> =
        mapOf("mandate" to fencingToken, "tenure" to epoch, "orders" to commands.map(::order))

    /** A follower's response to a heartbeat; it redirects the worker to the leader with this [label]. */
    fun redirect(label: String): Map<String, Any?> = mapOf("overseer" to label)

    private fun order(command: Command): Map<String, Any?> {
        val verb =
            when (command) {
                is Command.Start -> "start"
                is Command.Stop -> "kill"
                is Command.Forget -> "forget"
            }
        val map = LinkedHashMap<String, Any?>()
        map["verb"] = verb
        map["piece"] = command.jobId + "/" + command.index
        map["try"] = command.attempt
        if (command is Command.Stop) map["windDownS"] = command.graceS
        return map
    }
}
