package org.chalkhollow.runtime

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import org.HdrHistogram.Histogram
import org.chalkhollow.core.operations.ControllerGauges

/**
 * Counts and times by plain numbers and HdrHistogram; Micrometer's registry is set up when somebody first asks, since
 * that costs processor time which a start does not have.
 */
class Meters {
    private val answers = Int2LongOpenHashMap()
    private var malformedReports = 0L
    private var malformedFrames = 0L
    private var newerFrames = 0L
    private var malformedReplies = 0L
    private val shed = LongArray(Priority.entries.size)
    private val histograms = LinkedHashMap<String, Histogram>()
    private val registry by lazy {
        SimpleMeterRegistry().also { r ->
            FunctionCounter
                .builder(
                    "chalkhollow.reports.malformed",
                    this,
                ) { it.malformedReports.toDouble() }
                .register(r)
            FunctionCounter.builder("chalkhollow.frames.malformed", this) { it.malformedFrames.toDouble() }.register(r)
            FunctionCounter.builder("chalkhollow.frames.newer", this) { it.newerFrames.toDouble() }.register(r)
            FunctionCounter
                .builder(
                    "chalkhollow.replies.malformed",
                    this,
                ) { it.malformedReplies.toDouble() }
                .register(r)
        }
    }

    fun answered(status: Int) {
        answers.addTo(status, 1)
    }

    fun malformedReport() {
        malformedReports++
    }

    /** A request was not worked on, since its client had gone or waited no more. */
    fun shed(priority: Priority) {
        shed[priority.ordinal]++
    }

    /** A frame from another controller that could not be read. */
    fun malformedFrame() {
        malformedFrames++
    }

    /** A frame from another controller of a kind that this version does not know. */
    fun newerFrame() {
        newerFrames++
    }

    /** A reply of the state service, the cloud or a worker that could not be read. */
    fun malformedReply() {
        malformedReplies++
    }

    /** How long something of this kind took. */
    fun took(kind: String, micros: Long) =
        histograms.getOrPut(kind) { Histogram(MAX_MICROS, 2) }.recordValue(micros.coerceIn(0, MAX_MICROS))

    /** All meters, one a line. */
    fun text(gauges: ControllerGauges): String =
        buildString {
            appendLine("chalkhollow_leading ${if (gauges.leading) 1 else 0}")
            appendLine("chalkhollow_generation ${gauges.fencingToken}")
            appendLine("chalkhollow_jobs_open ${gauges.openJobs}")
            appendLine("chalkhollow_jobs_known ${gauges.jobs}")
            appendLine("chalkhollow_machines ${gauges.machines}")
            appendLine("chalkhollow_replicas_wanted ${gauges.replicas.wanted}")
            appendLine("chalkhollow_replicas_up ${gauges.replicas.up}")
            for ((label, version) in gauges.versions) {
                if (version !=
                    null
                ) {
                    appendLine("chalkhollow_version{controller=\"$label\"} $version")
                }
            }
            for ((input, count) in gauges.dropped) appendLine("chalkhollow_${input.metric}_total $count")
            appendLine("chalkhollow_shed_total{kind=\"report\"} ${shed[Priority.WORKER.ordinal]}")
            appendLine("chalkhollow_shed_total{kind=\"user\"} ${shed[Priority.USER.ordinal]}")
            for ((kind, h) in histograms) {
                for (q in QUANTILES) {
                    appendLine("chalkhollow_micros{kind=\"$kind\",quantile=\"$q\"} ${h.getValueAtPercentile(q * 100)}")
                }
                appendLine("chalkhollow_micros_count{kind=\"$kind\"} ${h.totalCount}")
            }
            for (status in answers.keys) {
                FunctionCounter
                    .builder("chalkhollow.answers", answers) {
                        it.get(status).toDouble()
                    }.tag("status", status.toString())
                    .register(registry)
            }
            for (meter in registry.meters) {
                val tags = meter.id.tags.joinToString(",") { "${it.key}=\"${it.value}\"" }
                val name = meter.id.name.replace('.', '_') + "_total" + if (tags.isEmpty()) "" else "{$tags}"
                for (sample in meter.measure()) appendLine("$name ${sample.value}")
            }
        }

    private companion object {
        const val MAX_MICROS = 600_000_000L
        val QUANTILES = doubleArrayOf(0.5, 0.95, 0.99)
    }
}
