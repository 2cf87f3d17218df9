package org.chalkhollow.model

/** One key of the state service with its value and the revision of its last change. */
data class KeyValue(val key: String, val value: Any?, val revision: Long)

/** A page of keys in order; [more] says whether others follow. */
data class KeyValuePage(val rows: List<KeyValue>, val more: Boolean)

/** A change in a compare-and-swap; a null [value] removes the key. */
data class Change(val key: String, val value: Map<String, Any?>?)

/** A condition: [key] has revision [revision]; 0 means that it does not exist. */
data class Condition(val key: String, val revision: Long)
