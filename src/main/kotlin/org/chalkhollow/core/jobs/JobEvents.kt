package org.chalkhollow.core.jobs

import org.chalkhollow.core.cluster.OpenJob

/** What [CompletionWriter] and [JobCancellation] report of jobs. */
interface JobEvents {
    /** The completion of all tasks of [job] is durable. */
    fun onJobDone(job: OpenJob)

    /** The cancellation of [job] is durable. */
    fun onJobCancelled(job: OpenJob)

    /** For those that need not hear of jobs. */
    object None : JobEvents {
        override fun onJobDone(job: OpenJob) = Unit

        override fun onJobCancelled(job: OpenJob) = Unit
    }
}
