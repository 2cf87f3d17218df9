package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.OpenJob

/** Events of jobs, published by [CompletionWriter] and [JobCancellation]. */
interface JobEvents {
    /** The completion of all tasks of [job] is durable. */
    fun onJobDone(job: OpenJob)

    /** The cancellation of [job] is durable. */
    fun onJobCancelled(job: OpenJob)

    /** Ignores all events. */
    object None : JobEvents {
        override fun onJobDone(job: OpenJob) = Unit

        override fun onJobCancelled(job: OpenJob) = Unit
    }
}
