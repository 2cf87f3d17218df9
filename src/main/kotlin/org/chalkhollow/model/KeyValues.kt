package org.chalkhollow.model

/** A key of the state service with its value and the revision of its last change. */
data class KeyValue(val key: String, val value: Any?, val revision: Long)

/** A page of keys in key order; [more] says whether more keys follow. */
data class KeyValuePage(val rows: List<KeyValue>, val more: Boolean)

/** A change in a compare-and-swap; a null [value] removes the key. */
data class Change(val key: String, val value: Map<String, Any?>?)

/** A condition of a compare-and-swap: [key] has revision [revision]; 0 means that the key does not exist. */
data class Condition(val key: String, val revision: Long)
