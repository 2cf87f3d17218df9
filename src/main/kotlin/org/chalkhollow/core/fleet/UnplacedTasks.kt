package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.OpenJob

/**
 * Tasks of one job that found no room in a placement round, by which the fleet is scaled out; [pressing] if they would
 * be late unless on-demand machines are rented too. Only zones that [zones] admits are of use to them now.
 */
class UnplacedTasks(val job: OpenJob, val count: Int, val pressing: Boolean, val zones: ZoneConstraint? = null) {
    fun admits(zone: Int): Boolean = zones == null || zones.admits(zone)
}
