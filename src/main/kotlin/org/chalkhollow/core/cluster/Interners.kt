package org.chalkhollow.core.cluster

import org.chalkhollow.model.Interner

/** The interners of one controller. */
class Interners {
    val jobs = Interner()
    val teams = Interner()
    val types = Interner()
    val zones = Interner()
    val images = Interner()
    val machines = Interner()
}
