package org.chalkhollow.runtime

import kotlinx.serialization.json.Json
import org.chalkhollow.core.Controller
import org.chalkhollow.core.operations.JobView
import org.chalkhollow.core.operations.StatusView
import org.chalkhollow.model.HttpStatus

/** HTTP endpoints for operators and monitoring: health, metrics, and status as JSON. */
internal class OperatorEndpoints(private val controller: Controller, private val metrics: Metrics) {
    /** `/up`: whether this controller accepts requests. */
    fun up(): HttpResponse =
        HttpResponse(
            if (controller.acceptsRequests(SystemClocks.now())) HttpStatus.OK else HttpStatus.UNAVAILABLE,
            null,
        )

    /** `/metrics`, in the text format of Prometheus. */
    fun metrics(): HttpResponse {
        val text = metrics.text(controller.gauges)
        return HttpResponse(HttpStatus.OK, text.encodeToByteArray(), contentType = "text/plain; version=0.0.4")
    }

    /** Paths under `/ops/`, as JSON; used by the `status` command. */
    fun operations(path: String): HttpResponse {
        val json =
            when {
                path == "status" -> JSON.encodeToString(StatusView.serializer(), controller.status(SystemClocks.now()))
                path.startsWith(JOBS_PREFIX) -> jobJson(path.substring(JOBS_PREFIX.length))
                else -> null
            }
        val status = if (json == null) HttpStatus.NOT_FOUND else HttpStatus.OK
        return HttpResponse(status, json?.encodeToByteArray(), contentType = "application/json")
    }

    private fun jobJson(id: String): String? =
        controller.jobStatus(SystemClocks.now(), id)?.let { JSON.encodeToString(JobView.serializer(), it) }

    private companion object {
        const val JOBS_PREFIX = "jobs/"

        /** Writes fields with default values too, so that scripts find every field. */
        val JSON = Json { encodeDefaults = true }
    }
}
