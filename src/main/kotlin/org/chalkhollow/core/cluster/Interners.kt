package org.chalkhollow.core.cluster

import org.chalkhollow.model.Interner

/**
 * Dense indices for names within one controller. Stored records and messages contain names instead, because another
 * controller, or this one after a restart, assigns other indices. `JobTable` resets the indices of jobs at the start of
 * each term.
 */
class Interners {
    val jobs = Interner()
    val teams = Interner()
    val types = Interner()
    val zones = Interner()
    val images = Interner()
    val machines = Interner()
}
