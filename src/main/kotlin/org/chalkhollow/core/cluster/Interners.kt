package org.chalkhollow.core.cluster

import org.chalkhollow.model.Interner

/**
 * One controller's dense indices for names. They are its own: what is stored or sent says names, since another
 * controller, or this one after a restart, numbers them otherwise. `JobTable` starts those of jobs again with
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
