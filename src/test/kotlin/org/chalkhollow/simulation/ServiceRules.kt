package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.TaskStatus

/**
 * What is counted of services, whose tasks (replicas) run until they are withdrawn: when each ran, and which is down
 * for too long.
 */
class ServiceRules(private val simulation: Simulation) {
    private val clock = simulation.clock
    private val services = ArrayList<JobSpec>()

    /** Since when a replica runs, by name, and the spans of time in which it ran before. */
    private val upSinceMs = HashMap<String, Long>()
    private val spans = HashMap<String, ArrayList<LongRange>>()
    private val downSinceMs = HashMap<String, Long>()
    private var sampledAtMs = -SAMPLE_INTERVAL_MS

    fun accepted(spec: JobSpec) {
        services.add(spec)
    }

    /** Notes which replicas run; one on a machine that hangs does not. */
    fun sample() {
        if (services.isEmpty() || clock.timeMs < sampledAtMs + SAMPLE_INTERVAL_MS) return
        sampledAtMs = clock.timeMs
        val running =
            simulation.cloud.workers
                .filter { !it.hanging }
                .flatMap { it.activeTasks() }
                .filter { it.phase == TaskStatus.Phase.RUNNING }
                .mapTo(HashSet()) { it.name }
        for (spec in services) {
            for (name in names(spec)) note(name, name in running)
        }
    }

    private fun note(name: String, runs: Boolean) {
        val since = upSinceMs[name]
        if (runs) {
            if (since == null) upSinceMs[name] = clock.timeMs
        } else if (since != null) {
            upSinceMs.remove(name)
            spans.getOrPut(name) { ArrayList() }.add(since..clock.timeMs)
        }
    }

    /** From calm on, no replica is down for long unless nothing [canStart] its like; to be called once a second. */
    fun checkDown(isOpen: (String) -> Boolean, canStart: (JobSpec) -> Boolean) {
        for (spec in services) {
            val down = if (isOpen(spec.id)) names(spec).filter { it !in upSinceMs } else emptyList()
            (names(spec) - down.toSet()).forEach(downSinceMs::remove)
            if (down.isEmpty()) continue
            if (!canStart(spec)) {
                down.forEach(downSinceMs::remove)
                continue
            }
            for (name in down) {
                val since = downSinceMs.getOrPut(name) { clock.timeMs }
                if (clock.timeMs - since <= MAX_DOWN_MS) continue
                simulation.rules.recordViolation("replica_down", "$name is down since $since: $spec")
                downSinceMs[name] = clock.timeMs
            }
        }
    }

    /** How many replicas of [id] run now. */
    fun upCount(id: String): Int = names(specOf(id)).count { it in upSinceMs }

    /** The share of the replica time of [id], wanted from [fromMs] until [toMs], in which replicas ran. */
    fun availability(id: String, fromMs: Long, toMs: Long): Double {
        val names = names(specOf(id))
        val wanted = names.size * (toMs - fromMs)
        val served = names.sumOf { n -> ran(n).sumOf { maxOf(0L, minOf(it.last, toMs) - maxOf(it.first, fromMs)) } }
        return if (wanted <= 0) 1.0 else served.toDouble() / wanted
    }

    /** The longest time from [fromMs] on for which one replica of [id] did not run, up to now. */
    fun longestDownMs(id: String, fromMs: Long): Long =
        names(specOf(id)).maxOf { n ->
            var last = fromMs
            var longest = 0L
            for (span in ran(n)) {
                longest = maxOf(longest, span.first - last)
                last = maxOf(last, span.last)
            }
            maxOf(longest, clock.timeMs - last)
        }

    /** The most replicas of [id] that were down at the same time from [fromMs] on. */
    fun maxDownCount(id: String, fromMs: Long): Int {
        val names = names(specOf(id))
        val ends = names.flatMap { n -> ran(n).map { it.last } }.filter { it >= fromMs && it < clock.timeMs }
        return ends.maxOfOrNull { t -> names.count { n -> ran(n).none { t >= it.first && t < it.last } } } ?: 0
    }

    private fun ran(name: String): List<LongRange> =
        (spans[name] ?: emptyList()) + listOfNotNull(upSinceMs[name]?.let { it..clock.timeMs })

    private fun specOf(id: String): JobSpec = services.first { it.id == id }

    private fun names(spec: JobSpec): List<String> = List(spec.tasks) { "${spec.id}/$it" }

    private companion object {
        const val SAMPLE_INTERVAL_MS = 100L
        const val MAX_DOWN_MS = 30_000L
    }
}
