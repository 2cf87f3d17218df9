package org.chalkhollow.simulation

/**
 * The connections between controllers: each controller opens one to each of the others, and a fault may affect one of
 * them alone. A message is sent on the connection that the sender opened or, while that has a fault, on the one that
 * the receiver opened, unless one of both runs a version that sends only on connections that it opened.
 */
class PeerLinks(private val clock: VirtualClock, private val network: Network) {
    enum class Fault {
        /** The connection is reset and no new one is accepted. */
        REFUSED,

        /** The connection stays open, or hangs when it is opened, and carries nothing in either direction. */
        SILENT,
    }

    private class ActiveFault(val fault: Fault, val sinceMs: Long, val untilMs: Long)

    /** By the controller that opened the connection and the one that accepted it. */
    private val faults = HashMap<Pair<String, String>, ActiveFault>()

    /** The controllers of a version that sends only on connections that it opened. */
    val oneWayControllers = HashSet<String>()

    /** For [forMs], the connection that [opener] opens to [acceptor] has [fault]. */
    fun fail(opener: String, acceptor: String, fault: Fault, forMs: Long) {
        faults[opener to acceptor] = ActiveFault(fault, clock.timeMs, clock.timeMs + forMs)
    }

    /** Sends a message from [from] to [to]; [run] is called when it arrives. */
    fun send(from: String, to: String, run: () -> Unit) {
        val opened = activeFault(from, to)
        val canUseAccepted = from !in oneWayControllers && to !in oneWayControllers && activeFault(to, from) == null
        if (opened == null || canUseAccepted && isNoticed(opened)) network.send(from, to, run)
    }

    private fun isNoticed(fault: ActiveFault): Boolean =
        fault.fault == Fault.REFUSED || clock.timeMs - fault.sinceMs > SILENCE_NOTICED_AFTER_MS

    private fun activeFault(opener: String, acceptor: String): ActiveFault? =
        faults[opener to acceptor]?.takeIf { it.untilMs > clock.timeMs }

    private companion object {
        const val SILENCE_NOTICED_AFTER_MS = 2500L
    }
}
