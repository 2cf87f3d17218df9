package org.chalkhollow.core.fleet

/** What can be rented: a type in a zone, spot or on demand. */
data class Offer(val type: Int, val zone: Int, val spot: Boolean)
