package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings

/**
 * Owns the requests that rent machines; [OfferSelector] chooses what to rent. At most one request is pending. It is
 * repeated under its name until its outcome is known, and the cloud executes each name at most once. Called by [Fleet].
 */
class ScaleOut(
    private val context: CoreContext,
    private val names: Interners,
    private val table: MachineTable,
    private val cloud: CloudRequests,
    reachability: MachineReachability,
    settings: PlatformSettings,
    options: OperatorSettings,
    private val label: String,
) {
    private val backoff = OfferBackoff()
    private val selector = OfferSelector(context, names, table, reachability, backoff, settings, options)
    private var requestCount = 0L
    private var pending: PendingRental? = null
    private var retryAtMs = 0L

    /** A rental of unknown outcome. */
    private class PendingRental(val offer: Offer, val request: CloudOp.Rent)

    /**
     * Whether a request has concluded since the last tick, so that more machines may have to be rented at once: a start
     * and mass failures need many.
     */
    var mayScaleOutMore = false
        private set

    fun start() {
        requestCount = 0
        pending = null
        backoff.start()
    }

    fun beginTick() {
        mayScaleOutMore = false
    }

    /** Whether a rental waits for its reply or for its retry. */
    val isPending: Boolean get() = pending != null

    /** Repeats the pending rental if its retry is due. */
    fun retry() {
        val rental = pending ?: return
        if (context.steady >= retryAtMs && cloud.trySpend()) send(rental)
    }

    /** Rents for the most urgent tasks that fit neither the machines that are up nor those that boot. */
    fun rentFor(unplaced: List<UnplacedTasks>) {
        if (unplaced.isEmpty()) return
        val wanted = selector.select(unplaced) ?: return
        if (!cloud.trySpend()) return
        val rental = PendingRental(wanted.offer, rentalRequest(wanted))
        pending = rental
        send(rental)
    }

    private fun rentalRequest(wanted: WantedMachines): CloudOp.Rent {
        requestCount++
        return CloudOp.Rent(
            // No name may occur twice, so it contains the fencing token and, as an extra safeguard, the label.
            "$label-${table.fencingToken}-$requestCount",
            names.types.name(wanted.offer.type),
            names.zones.name(wanted.offer.zone),
            wanted.offer.spot,
            wanted.count,
        )
    }

    private fun send(rental: PendingRental) = cloud.scale(rental.request) { onReply(rental, it) }

    private fun onReply(rental: PendingRental, reply: CloudReply) {
        when (reply) {
            is CloudReply.Rented -> {
                pending = null
                onRented(rental, reply.names)
                mayScaleOutMore = true
            }
            CloudReply.NoCapacity -> {
                pending = null
                backoff.onUnavailable(rental.offer, context.steady)
                mayScaleOutMore = true
            }
            is CloudReply.Rejected -> {
                context.warn(
                    "the cloud rejected rental ${rental.request.requestName}: ${reply.reason}; backing off its offer",
                )
                pending = null
                backoff.onUnavailable(rental.offer, context.steady)
            }
            // Outcome unknown or not executed: it is repeated under the same name, which rents at most once.
            else -> retryAtMs = context.steady + RETRY_DELAY_MS
        }
    }

    private fun onRented(rental: PendingRental, machineNames: List<String>) {
        val offer = rental.offer
        val request = rental.request
        val kind = "${request.type} in ${request.zone}${if (request.spot) " (spot)" else ""}"
        context.info("rented ${machineNames.size} of ${request.count} requested machines: $kind")
        for (name in machineNames) {
            if (!table.isRemoved(name)) addMachine(name, offer)
        }
        if (machineNames.size < request.count) {
            backoff.onUnavailable(offer, context.steady)
        } else {
            backoff.reset(offer)
        }
    }

    private fun addMachine(name: String, offer: Offer) {
        val machine = table.getOrAdd(name)
        if (machine.isTypeKnown) return
        machine.describe(offer.type, offer.zone, offer.spot)
        machine.cloud.recordCreated(context.steady)
    }

    private companion object {
        const val RETRY_DELAY_MS = 700L
    }
}
