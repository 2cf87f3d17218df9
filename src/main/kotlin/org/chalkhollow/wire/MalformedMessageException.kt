package org.chalkhollow.wire

/**
 * A message that does not keep to its protocol; [message] says where. It has no stack trace: a client can cause any
 * number of these, and where the text was decoded says nothing that [message] does not.
 */
class MalformedMessageException(message: String, cause: Throwable? = null) : Exception(message, cause, false, false)
