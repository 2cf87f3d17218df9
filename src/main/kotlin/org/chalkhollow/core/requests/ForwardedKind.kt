package org.chalkhollow.core.requests

/** The kinds of requests that followers forward to the leader, with their numbers in peer messages. */
internal enum class ForwardedKind(val wireNumber: Int) {
    SUBMIT(wireNumber = 1),
    QUERY(wireNumber = 2),
    CANCEL(wireNumber = 3),
    ;

    companion object {
        /** Null for a number that only a newer version knows. */
        fun of(wireNumber: Int): ForwardedKind? = entries.find { it.wireNumber == wireNumber }
    }
}
