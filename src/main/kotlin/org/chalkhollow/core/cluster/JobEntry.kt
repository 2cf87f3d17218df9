package org.chalkhollow.core.cluster

import org.chalkhollow.model.JobState

/** What stays of a job for ever: its state and its size. */
class JobEntry(val id: Int, var tasks: Int) {
    var state: JobState? = null
    var open: OpenJob? = null
}
