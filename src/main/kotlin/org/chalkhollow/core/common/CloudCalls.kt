package org.chalkhollow.core.common

import org.chalkhollow.model.ListedPage
import org.chalkhollow.model.MachineType

/** Operations of the cloud that lends machines. */
sealed interface CloudOp {
    /** Reads the machine types with their zones and prices. */
    data object Catalog : CloudOp

    /** Reads a page of the machines in the order of their names, beginning after the name [after]. */
    data class Machines(val after: String?) : CloudOp

    /**
     * Scales out by up to [count] machines. The call is idempotent by its name [requestName]: the cloud executes it at most
     * once, however often it is sent.
     */
    data class Rent(val requestName: String, val type: String, val zone: String, val spot: Boolean, val count: Int) :
        CloudOp

    /** Scales in: deletes the machines with these [names]. */
    data class Delete(val names: List<String>) : CloudOp
}

/** Results of calls of the cloud. */
sealed interface CloudReply {
    /** The result of [CloudOp.Catalog]. */
    data class Catalog(val types: List<MachineType>) : CloudReply

    /** The result of [CloudOp.Machines]. */
    data class Machines(val page: ListedPage) : CloudReply

    /** [CloudOp.Rent] gave the machines [names], which may be fewer than were asked for. */
    data class Rented(val names: List<String>) : CloudReply

    /** [CloudOp.Rent] gave nothing: there is no such machine to be had now. */
    data object NoCapacity : CloudReply

    /** [CloudOp.Delete] was executed. */
    data object Deleted : CloudReply

    /** The call was certainly not executed, for want of service, connection or rate: it may be repeated. */
    data object Unavailable : CloudReply

    /** No response that could be read: the call was applied now, will be applied later, or never. */
    data object NoResponse : CloudReply

    /** The cloud refuses the call for what it is, [reason]. */
    data class Rejected(val reason: String) : CloudReply
}
