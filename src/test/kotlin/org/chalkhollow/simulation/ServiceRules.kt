package org.chalkhollow.simulation

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.TaskStatus

/** Records when each replica of a service ran, and checks that no replica is down for too long. */
class ServiceRules(private val simulation: Simulation) {
    private val clock = simulation.clock
    private val services = ArrayList<JobSpec>()

    /** Since when a replica runs, by its name `JOB/INDEX`. */
    private val upSinceMs = HashMap<String, Long>()

    /** The past intervals in which a replica ran, in ms, by its name. */
    private val upIntervalsMs = HashMap<String, ArrayList<LongRange>>()
    private val downSinceMs = HashMap<String, Long>()
    private var sampledAtMs = -SAMPLE_INTERVAL_MS

    fun accepted(spec: JobSpec) {
        services.add(spec)
    }

    /** Records which replicas run. Those on a machine that hangs do not. */
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
            for (name in names(spec)) record(name, name in running)
        }
    }

    private fun record(name: String, runs: Boolean) {
        val since = upSinceMs[name]
        if (runs) {
            if (since == null) upSinceMs[name] = clock.timeMs
        } else if (since != null) {
            upSinceMs.remove(name)
            upIntervalsMs.getOrPut(name) { ArrayList() }.add(since..clock.timeMs)
        }
    }

    /**
     * No replica of an open service may be down for more than [MAX_DOWN_MS] while [canStart] says that one could start.
     * Called once a second after the last fault.
     */
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

    /** How many replicas of service [id] run now. */
    fun upCount(id: String): Int = names(specOf(id)).count { it in upSinceMs }

    /** The fraction of the wanted replica time of [id] between [fromMs] and [toMs] in which its replicas ran. */
    fun availability(id: String, fromMs: Long, toMs: Long): Double {
        val names = names(specOf(id))
        val wantedMs = names.size * (toMs - fromMs)
        val ranMs =
            names.sumOf { n ->
                upIntervals(n).sumOf { maxOf(0L, minOf(it.last, toMs) - maxOf(it.first, fromMs)) }
            }
        return if (wantedMs <= 0) 1.0 else ranMs.toDouble() / wantedMs
    }

    /** The longest time between [fromMs] and now in which any one replica of [id] did not run. */
    fun longestDownMs(id: String, fromMs: Long): Long =
        names(specOf(id)).maxOf { n ->
            var last = fromMs
            var longest = 0L
            for (interval in upIntervals(n)) {
                longest = maxOf(longest, interval.first - last)
                last = maxOf(last, interval.last)
            }
            maxOf(longest, clock.timeMs - last)
        }

    /** The largest number of replicas of [id] that were down at the same time between [fromMs] and now. */
    fun maxDownCount(id: String, fromMs: Long): Int {
        val names = names(specOf(id))
        val ends = names.flatMap { n -> upIntervals(n).map { it.last } }.filter { it >= fromMs && it < clock.timeMs }
        return ends.maxOfOrNull { t -> names.count { n -> upIntervals(n).none { t >= it.first && t < it.last } } } ?: 0
    }

    private fun upIntervals(name: String): List<LongRange> =
        (upIntervalsMs[name] ?: emptyList()) + listOfNotNull(upSinceMs[name]?.let { it..clock.timeMs })

    private fun specOf(id: String): JobSpec = services.first { it.id == id }

    private fun names(spec: JobSpec): List<String> = List(spec.tasks) { "${spec.id}/$it" }

    private companion object {
        const val SAMPLE_INTERVAL_MS = 100L
        const val MAX_DOWN_MS = 30_000L
    }
}
