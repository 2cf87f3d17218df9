package org.chalkhollow.simulation

import org.chalkhollow.model.ExitCause
import org.chalkhollow.model.TaskStatus

/** One attempt of a task on a fake worker. A controller sent its start at [sentAtMs]. */
class FakeTask(val job: String, val index: Int, val attempt: Long, val sentAtMs: Long) {
    /** When the task completes, known once it runs. */
    var endsAtMs = 0L
    var phase = TaskStatus.Phase.FETCHING
    var cause: ExitCause? = null
    val name get() = "$job/$index"
    val exited get() = phase == TaskStatus.Phase.EXITED
}
