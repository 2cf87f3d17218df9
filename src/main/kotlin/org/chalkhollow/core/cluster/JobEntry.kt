package org.chalkhollow.core.cluster

import org.chalkhollow.model.JobState

/**
 * What stays of a job for ever: its index, its size, and its durable state, which is null while the job is being
 * accepted. [open] is set exactly while the job is neither done nor cancelled. Written by `JobTable` alone.
 */
class JobEntry(val index: Int, val tasks: Int) {
    var state: JobState? = null
        private set
    var open: OpenJob? = null
        private set

    /** The record of the job is durable; [opened] follows. */
    fun accepted() {
        state = JobState.OPEN
    }

    fun opened(job: OpenJob) {
        open = job
    }

    /** It is durable that the job is done or cancelled. */
    fun ended(state: JobState) {
        this.state = state
        open = null
    }
}
