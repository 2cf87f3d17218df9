package org.chalkhollow.model

/** One key of the state service. */
data class KeyValue(val key: String, val value: Any?, val revision: Long)

/** A page of keys. */
data class KeyValuePage(val rows: List<KeyValue>, val more: Boolean)

/** A change in a transaction; a null [value] removes the key. */
data class Change(val key: String, val value: Map<String, Any?>?)

/** A condition: [key] has revision [revision]; 0 means that it does not exist. */
data class Condition(val key: String, val revision: Long)
