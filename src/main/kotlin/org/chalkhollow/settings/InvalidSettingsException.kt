package org.chalkhollow.settings

/** A settings file is invalid or cannot be read; [message] is one line that names the file and, if known, the field. */
class InvalidSettingsException(message: String, cause: Throwable? = null) : Exception(message, cause)
