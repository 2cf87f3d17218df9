package org.chalkhollow.core.cluster

import org.chalkhollow.model.JobState

/**
 * What the controller keeps of a job permanently: its index, its number of [tasks] and its durable [state]. [state] is
 * null until the record of the job is durable. [open] is set exactly while the job is neither done nor cancelled. Only
 * `JobTable` writes it.
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

    /** The record that the job is done or cancelled is durable. */
    fun ended(state: JobState) {
        this.state = state
        open = null
    }
}
