package org.chalkhollow.core.common

import org.chalkhollow.model.ListedPage
import org.chalkhollow.model.MachineType

/** Operations of the cloud that rents out machines. */
sealed interface CloudOp {
    /** Reads the machine types with their zones and prices. */
    data object Catalog : CloudOp

    /**
     * Reads a page of the machines in the order of their names; [after] is the last name of the page before, or null.
     */
    data class Machines(val after: String?) : CloudOp

    /**
     * Rents up to [count] machines. [requestName] makes the call idempotent: the cloud executes calls with the same
     * name at most once.
     */
    data class Rent(val requestName: String, val type: String, val zone: String, val spot: Boolean, val count: Int) :
        CloudOp

    /** Deletes the machines with these [names]. */
    data class Delete(val names: List<String>) : CloudOp
}

/** Results of calls to the cloud. */
sealed interface CloudReply {
    /** The result of [CloudOp.Catalog]. */
    data class Catalog(val types: List<MachineType>) : CloudReply

    /** The result of [CloudOp.Machines]. */
    data class Machines(val page: ListedPage) : CloudReply

    /** [CloudOp.Rent] created the machines [names], possibly fewer than requested. */
    data class Rented(val names: List<String>) : CloudReply

    /** [CloudOp.Rent] created no machine: the cloud has none of this kind available now. */
    data object NoCapacity : CloudReply

    /** [CloudOp.Delete] was executed. */
    data object Deleted : CloudReply

    /**
     * The call was certainly not executed: the cloud was unavailable, no connection could be made, or a rate limit was
     * reached. It may be retried.
     */
    data object Unavailable : CloudReply

    /** No readable response arrived: the call may have been executed, may still be executed later, or never. */
    data object NoResponse : CloudReply

    /** The cloud rejects the content of the call, for [reason]. */
    data class Rejected(val reason: String) : CloudReply
}
