package org.chalkhollow.core.cluster

/**
 * Owns how long those of a job's tasks took that this leader saw run from start to end. Written by `AttemptReconciler`.
 */
class ObservedRunTimes {
    private var runs = 0
    private var totalS = 0.0

    fun add(seconds: Double) {
        runs++
        totalS += seconds
    }

    /** The mean so far, or [estimateS] while no run was seen. */
    fun meanS(estimateS: Double): Double = if (runs > 0) totalS / runs else estimateS
}
