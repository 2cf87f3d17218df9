package org.chalkhollow.wire

/**
 * A received message violates its protocol; [message] says where. It has no stack trace, because clients can cause any
 * number of these exceptions and the stack would add nothing to [message].
 */
class MalformedMessageException(message: String, cause: Throwable? = null) : Exception(message, cause, false, false)
