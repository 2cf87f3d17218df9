package org.chalkhollow.runtime

import org.chalkhollow.settings.Address
import java.io.IOException

/** A port cannot be bound; [message] is one line for people. */
class CannotListenException(address: Address, cause: Exception) :
    IOException("cannot listen on $address: ${cause.message}", cause)
