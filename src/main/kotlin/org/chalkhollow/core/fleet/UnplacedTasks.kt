package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.OpenJob

/**
 * Tasks of one job that found no room in a round, for the fleet to rent by; [pressing] if they would be late without
 * dear machines. Only zones that [zones] admit are of use to them now.
 */
class UnplacedTasks(val job: OpenJob, val count: Int, val pressing: Boolean, val zones: ZoneConstraint? = null) {
    fun admits(zone: Int): Boolean = zones == null || zones.admits(zone)
}
