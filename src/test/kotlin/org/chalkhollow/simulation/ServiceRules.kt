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
    private val upSince = HashMap<String, Long>()
    private val spans = HashMap<String, ArrayList<LongRange>>()
    private val downSince = HashMap<String, Long>()
    private var sampledAt = -SAMPLE_MS

    fun accepted(spec: JobSpec) {
        services.add(spec)
    }

    /** Notes which replicas run; one on a machine that hangs does not. */
    fun sample() {
        if (services.isEmpty() || clock.time < sampledAt + SAMPLE_MS) return
        sampledAt = clock.time
        val running =
            simulation.cloud.workers
                .filter { !it.hanging }
                .flatMap { it.onMachine() }
                .filter { it.phase == TaskStatus.Phase.RUNNING }
                .mapTo(HashSet()) { it.name }
        for (spec in services) {
            for (name in names(spec)) note(name, name in running)
        }
    }

    private fun note(name: String, runs: Boolean) {
        val since = upSince[name]
        if (runs) {
            if (since == null) upSince[name] = clock.time
        } else if (since != null) {
            upSince.remove(name)
            spans.getOrPut(name) { ArrayList() }.add(since..clock.time)
        }
    }

    /** From calm on, no replica is down for long unless nothing [couldBegin] its like; to be called once a second. */
    fun checkDown(isOpen: (String) -> Boolean, couldBegin: (JobSpec) -> Boolean) {
        for (spec in services) {
            val down = if (isOpen(spec.id)) names(spec).filter { it !in upSince } else emptyList()
            (names(spec) - down.toSet()).forEach(downSince::remove)
            if (down.isEmpty()) continue
            if (!couldBegin(spec)) {
                down.forEach(downSince::remove)
                continue
            }
            for (name in down) {
                val since = downSince.getOrPut(name) { clock.time }
                if (clock.time - since <= DOWN_MS) continue
                simulation.rules.broken("replica_down", "$name is down since $since: $spec")
                downSince[name] = clock.time
            }
        }
    }

    /** How many replicas of [id] run now. */
    fun up(id: String): Int = names(specOf(id)).count { it in upSince }

    /** The share of the replica time of [id], wanted from [fromMs] until [toMs], in which replicas ran. */
    fun share(id: String, fromMs: Long, toMs: Long): Double {
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
            maxOf(longest, clock.time - last)
        }

    /** The most replicas of [id] that were down at the same time from [fromMs] on. */
    fun mostDownAtOnce(id: String, fromMs: Long): Int {
        val names = names(specOf(id))
        val ends = names.flatMap { n -> ran(n).map { it.last } }.filter { it >= fromMs && it < clock.time }
        return ends.maxOfOrNull { t -> names.count { n -> ran(n).none { t >= it.first && t < it.last } } } ?: 0
    }

    private fun ran(name: String): List<LongRange> =
        (spans[name] ?: emptyList()) + listOfNotNull(upSince[name]?.let { it..clock.time })

    private fun specOf(id: String): JobSpec = services.first { it.id == id }

    private fun names(spec: JobSpec): List<String> = List(spec.tasks) { "${spec.id}/$it" }

    private companion object {
        const val SAMPLE_MS = 100L
        const val DOWN_MS = 30_000L
    }
}
