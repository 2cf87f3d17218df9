package org.chalkhollow.core.fleet

import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.common.CloudOp
import org.chalkhollow.core.common.CloudReply
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.PlatformSettings

/**
 * Owns the requests that rent machines; [OfferSelector] says for what. At most one has no reply, and it is repeated
 * under its name until the outcome is known: requests are idempotent, so the cloud carries it out at most once. Called
 * by [Fleet].
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
    private var requests = 0L
    private var pending: PendingRental? = null
    private var retryAt = 0L

    /** A request whose outcome is not known yet. */
    private class PendingRental(val offer: Offer, val request: CloudOp.Rent)

    /**
     * The outcome of a request is known, and there may be more to rent: much is asked for at once at a start and after
     * mass failures.
     */
    var mayScaleOutMore = false
        private set

    fun start() {
        requests = 0
        pending = null
        backoff.start()
    }

    fun beginTick() {
        mayScaleOutMore = false
    }

    /** Whether a request waits for its reply or for being repeated. */
    val isPending: Boolean get() = pending != null

    /** Repeats the request whose outcome is not known. */
    fun retry() {
        val rental = pending ?: return
        if (context.steady >= retryAt && cloud.trySpend()) send(rental)
    }

    /** Rents for the most urgent tasks that neither the machines that are up nor those that boot have room for. */
    fun rentFor(unplaced: List<UnplacedTasks>) {
        if (unplaced.isEmpty()) return
        val wanted = selector.select(unplaced) ?: return
        if (!cloud.trySpend()) return
        val rental = PendingRental(wanted.offer, request(wanted))
        pending = rental
        send(rental)
    }

    private fun request(wanted: WantedMachines): CloudOp.Rent {
        requests++
        return CloudOp.Rent(
            // The fencing token is in the name, and the label for good measure: no request name comes twice.
            "$label-${table.fencingToken}-$requests",
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
                backoff.onRefused(rental.offer, context.steady)
                mayScaleOutMore = true
            }
            is CloudReply.Rejected -> {
                context.warn("the cloud rejects a rental: ${reply.reason}")
                pending = null
                backoff.onRefused(rental.offer, context.steady)
            }
            // Unknown or not executed: it is repeated under the same name, which rents at most once.
            else -> retryAt = context.steady + RETRY_MS
        }
    }

    private fun onRented(rental: PendingRental, machineNames: List<String>) {
        val offer = rental.offer
        val request = rental.request
        val kind = "${request.type} in ${request.zone}${if (request.spot) " (spot)" else ""}"
        context.info("rented ${machineNames.size} of ${request.count} $kind")
        for (name in machineNames) {
            if (!table.isGone(name)) addMachine(name, offer)
        }
        if (machineNames.size < request.count) {
            backoff.onRefused(offer, context.steady)
        } else {
            backoff.onGranted(offer)
        }
    }

    private fun addMachine(name: String, offer: Offer) {
        val machine = table.getOrAdd(name)
        if (machine.isTypeKnown) return
        machine.describe(offer.type, offer.zone, offer.spot)
        machine.cloud.recordCreated(context.steady)
    }

    private companion object {
        const val RETRY_MS = 700L
    }
}
