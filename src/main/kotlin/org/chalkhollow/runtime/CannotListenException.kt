package org.chalkhollow.runtime

import org.chalkhollow.settings.Address
import java.io.IOException

/** A port cannot be bound. [message] is a single line that is printed for the operator. */
class CannotListenException(address: Address, cause: Exception) :
    IOException("cannot listen on $address: ${cause.message}", cause)
