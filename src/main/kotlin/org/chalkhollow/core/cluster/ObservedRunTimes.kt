package org.chalkhollow.core.cluster

/** Run times of the tasks of one job that this leader observed from start to end. Written by `AttemptReconciler`. */
class ObservedRunTimes {
    private var runs = 0
    private var totalS = 0.0

    fun add(seconds: Double) {
        runs++
        totalS += seconds
    }

    /** The mean in seconds, or [estimateS] if no run was observed. */
    fun meanS(estimateS: Double): Double = if (runs > 0) totalS / runs else estimateS
}
