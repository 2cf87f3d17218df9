package org.chalkhollow.settings

/** Settings that cannot be used; [message] is one line that names the file and the field. */
class InvalidSettingsException(message: String, cause: Throwable? = null) : Exception(message, cause)
