package org.chalkhollow.runtime

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import org.HdrHistogram.Histogram
import org.chalkhollow.core.common.Readiness
import org.chalkhollow.core.operations.ControllerGauges

/**
 * Collects counts in plain fields and durations in HdrHistograms. Micrometer's registry is created when metrics are
 * first read, because creating it takes processor time that a starting controller needs. Metric names are an interface
 * to operators.
 */
class Metrics {
    private val responses = Int2LongOpenHashMap()
    private var malformedHeartbeats = 0L
    private var malformedFrames = 0L
    private var unknownFrames = 0L
    private var malformedReplies = 0L
    private val shed = LongArray(TaskPriority.entries.size)
    private val histograms = LinkedHashMap<String, Histogram>()
    private val peers = LinkedHashMap<String, PeerMetrics>()
    private val registry by lazy { newRegistry() }

    /** Counts a response with [status]. */
    fun countResponse(status: Int) {
        responses.addTo(status, 1)
    }

    /** Counts a heartbeat that could not be decoded. */
    fun countMalformedHeartbeat() {
        malformedHeartbeats++
    }

    /** Counts a queued request that was shed, because its client had disconnected or timed out. */
    fun countShed(priority: TaskPriority) {
        shed[priority.ordinal]++
    }

    /** Counts a frame from another controller that could not be decoded. */
    fun countMalformedFrame() {
        malformedFrames++
    }

    /** Counts a frame from another controller of a kind that this version does not know. */
    fun countUnknownFrame() {
        unknownFrames++
    }

    /** Counts a reply of the state service, the cloud or a worker that could not be decoded. */
    fun countMalformedReply() {
        malformedReplies++
    }

    /** Adds the controller [label], whose metrics are reported from now on. */
    internal fun addPeer(label: String) {
        peers[label] = PeerMetrics()
    }

    /** The metrics of the controller [label], which must have been added with [addPeer]. */
    internal fun peer(label: String): PeerMetrics = peers.getValue(label)

    /** Records a duration of [kind] in microseconds. */
    fun recordDuration(kind: String, micros: Long) =
        histograms.getOrPut(kind) { Histogram(MAX_MICROS, 2) }.recordValue(micros.coerceIn(0, MAX_MICROS))

    /** All metrics in the text format of Prometheus, one per line. */
    fun text(gauges: ControllerGauges): String =
        buildString {
            appendGauges(gauges)
            appendForwarding(gauges)
            for ((label, peer) in peers) append(peer.text(label))
            appendLine("chalkhollow_shed_total{kind=\"report\"} ${shed[TaskPriority.WORKER.ordinal]}")
            appendLine("chalkhollow_shed_total{kind=\"user\"} ${shed[TaskPriority.USER.ordinal]}")
            appendHistograms()
            appendRegistry()
        }

    private fun StringBuilder.appendGauges(gauges: ControllerGauges) {
        appendLine("chalkhollow_leading ${if (gauges.isLeading) 1 else 0}")
        appendLine("chalkhollow_generation ${gauges.fencingToken}")
        appendLine("chalkhollow_jobs_open ${gauges.openJobs}")
        appendLine("chalkhollow_jobs_known ${gauges.knownJobs}")
        appendLine("chalkhollow_machines ${gauges.machines}")
        appendLine("chalkhollow_replicas_wanted ${gauges.replicas.wanted}")
        appendLine("chalkhollow_replicas_up ${gauges.replicas.up}")
        for ((reason, tasks) in gauges.held) appendLine("chalkhollow_tasks_held{reason=\"${reason.metric}\"} $tasks")
        for ((label, version) in gauges.versions) {
            if (version != null) appendLine("chalkhollow_version{controller=\"$label\"} $version")
        }
        for ((input, count) in gauges.dropped) appendLine("chalkhollow_${input.metric}_total $count")
    }

    private fun StringBuilder.appendForwarding(gauges: ControllerGauges) {
        appendLine("chalkhollow_up ${if (gauges.readiness.accepts) 1 else 0}")
        for (state in Readiness.entries.filter { !it.accepts }) {
            val isCurrent = if (state == gauges.readiness) 1 else 0
            appendLine("chalkhollow_up_refused{reason=\"${state.metric}\"} $isCurrent")
        }
        appendLine("chalkhollow_forwards_total{outcome=\"answered\"} ${gauges.forwarded.answered}")
        appendLine("chalkhollow_forwards_total{outcome=\"timed_out\"} ${gauges.forwarded.timedOut}")
        appendLine("chalkhollow_forwards_total{outcome=\"rejected\"} ${gauges.forwarded.rejected}")
        appendLine("chalkhollow_leader_probes_total{outcome=\"answered\"} ${gauges.probes.answered}")
        appendLine("chalkhollow_leader_probes_total{outcome=\"timed_out\"} ${gauges.probes.timedOut}")
    }

    private fun StringBuilder.appendHistograms() {
        for ((kind, histogram) in histograms) {
            for (quantile in QUANTILES) {
                val micros = histogram.getValueAtPercentile(quantile * PERCENT)
                appendLine("chalkhollow_micros{kind=\"$kind\",quantile=\"$quantile\"} $micros")
            }
            appendLine("chalkhollow_micros_count{kind=\"$kind\"} ${histogram.totalCount}")
        }
    }

    private fun StringBuilder.appendRegistry() {
        for (status in responses.keys.toIntArray()) {
            FunctionCounter
                .builder("chalkhollow.answers", responses) { it.get(status).toDouble() }
                .tag("status", status.toString())
                .register(registry)
        }
        for (meter in registry.meters) {
            val tags = meter.id.tags.joinToString(",") { "${it.key}=\"${it.value}\"" }
            val name = meter.id.name.replace('.', '_') + "_total" + if (tags.isEmpty()) "" else "{$tags}"
            for (sample in meter.measure()) appendLine("$name ${sample.value}")
        }
    }

    private fun newRegistry(): SimpleMeterRegistry {
        val registry = SimpleMeterRegistry()
        counter("chalkhollow.reports.malformed") { it.malformedHeartbeats }.register(registry)
        counter("chalkhollow.frames.malformed") { it.malformedFrames }.register(registry)
        counter("chalkhollow.frames.newer") { it.unknownFrames }.register(registry)
        counter("chalkhollow.replies.malformed") { it.malformedReplies }.register(registry)
        return registry
    }

    private fun counter(name: String, value: (Metrics) -> Long): FunctionCounter.Builder<Metrics> =
        FunctionCounter.builder(name, this) { value(it).toDouble() }

    private companion object {
        const val MAX_MICROS = 600_000_000L
        const val PERCENT = 100
        val QUANTILES = doubleArrayOf(0.5, 0.95, 0.99)
    }
}
