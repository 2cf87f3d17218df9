package org.chalkhollow.simulation

import org.chalkhollow.model.Command
import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.TaskStatus
import org.chalkhollow.model.WorkerHeartbeat
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Pack

/** The protocol's spellings on the side of a worker: heartbeats as it writes them, and commands as it reads them. */
object WorkerForm {
    fun encode(heartbeat: WorkerHeartbeat): ByteArray =
        Pack.encode(
            mapOf(
                "host" to heartbeat.machine,
                "address" to heartbeat.address,
                "flavour" to heartbeat.type,
                "site" to heartbeat.zone,
                "standby" to heartbeat.spot,
                "tenure" to heartbeat.epoch,
                "tally" to heartbeat.seq,
                "mandate" to heartbeat.fencingToken,
                "warningS" to heartbeat.spotNoticeS,
                "pieces" to
                    heartbeat.tasks.map { task ->
                        mapOf(
                            "piece" to "${task.jobId}/${task.index}",
                            "try" to task.attempt,
                            "status" to PHASES.getValue(task.phase),
                            "cause" to task.cause?.let { CAUSES.getValue(it) },
                        )
                    },
            ),
        )

    fun command(order: Fields): Command {
        val piece = order.text("piece")
        val job = piece.substringBefore('/')
        val index = piece.substringAfter('/').toInt()
        return when (order.text("verb")) {
            "start" -> Command.Start(job, index, order.long("try"))
            "kill" -> Command.Stop(job, index, order.long("try"), order.number("windDownS"))
            else -> Command.Forget(job, index, order.long("try"))
        }
    }

    private val PHASES =
        mapOf(
            TaskStatus.Phase.FETCHING to "pulling",
            TaskStatus.Phase.RUNNING to "running",
            TaskStatus.Phase.SAVING to "saving",
            TaskStatus.Phase.EXITED to "exited",
        )
    private val CAUSES =
        mapOf(
            ExitCause.DONE to "done",
            ExitCause.STOPPED to "halted",
            ExitCause.ERROR to "error",
            ExitCause.NO_FREE_CAPACITY to "full",
            ExitCause.OTHER_ATTEMPT_PRESENT to "busy",
            ExitCause.UNKNOWN_TASK to "no_such",
        )
}
