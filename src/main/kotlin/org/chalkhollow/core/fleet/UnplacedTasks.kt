package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.OpenJob

/**
 * Tasks of one job that a placement round could not place. [ScaleOut] rents machines for them, only in zones that
 * [zones] admits. [mayRentOnDemand]: they would start or end too late if they waited for cheaper spot machines.
 */
class UnplacedTasks(val job: OpenJob, val count: Int, val mayRentOnDemand: Boolean, val zones: ZoneConstraint? = null) {
    fun admits(zone: Int): Boolean = zones == null || zones.admits(zone)
}
