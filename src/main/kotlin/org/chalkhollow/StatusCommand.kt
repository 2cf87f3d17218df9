package org.chalkhollow

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.chalkhollow.core.operations.JobView
import org.chalkhollow.core.operations.StatusView
import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI
import java.net.URISyntaxException
import java.net.UnknownHostException

/** Asks a running controller how things stand. */
class StatusCommand : CoreCliktCommand(name = "status") {
    private val address by option(
        "--address",
        metavar = "HOST:PORT",
        help = "where the controller listens for users",
    ).required()
    private val job by option("--job", metavar = "ID", help = "one job, and why its tasks wait; the leader knows")
    private val json by option("--json", help = "print JSON").flag()

    override fun help(context: Context) = "Asks a running controller who leads, and for jobs, teams and machines."

    override fun run() {
        val id = job
        val text =
            fetch(if (id == null) "/ops/status" else "/ops/jobs/$id")
                ?: throw CliktError("$address does not know ${id ?: "of this"}", statusCode = UNKNOWN)
        if (json) return echo(text)
        try {
            if (id ==
                null
            ) {
                show(LENIENT.decodeFromString(StatusView.serializer(), text))
            } else {
                show(LENIENT.decodeFromString(JobView.serializer(), text))
            }
        } catch (e: SerializationException) {
            throw CliktError("$address is no controller of this version", statusCode = UNREACHABLE)
        }
    }

    private fun fetch(path: String): String? {
        try {
            val uri = URI("http://$address$path")
            if (uri.host == null || uri.port !in PORTS) throw notAnAddress()
            val connection = uri.toURL().openConnection() as HttpURLConnection
            connection.connectTimeout = TIMEOUT_MS
            connection.readTimeout = TIMEOUT_MS
            if (connection.responseCode == HttpURLConnection.HTTP_NOT_FOUND) return null
            return connection.inputStream.use { it.readBytes().decodeToString() }
        } catch (e: UnknownHostException) {
            throw CliktError("$address cannot be reached: no such host", e, statusCode = UNREACHABLE)
        } catch (e: IOException) {
            throw CliktError("$address cannot be reached: ${e.message}", e, statusCode = UNREACHABLE)
        } catch (e: URISyntaxException) {
            throw notAnAddress(e)
        }
    }

    private fun notAnAddress(cause: Exception? = null) =
        CliktError("$address is not host:port", cause, statusCode = UNREACHABLE)

    private fun show(s: StatusView) {
        val role = if (s.leads) "leads" else "follows ${s.leader ?: "nobody it has heard of lately"}"
        echo("${s.label}: $role, generation ${s.fencingToken}")
        if (s.controllers.isNotEmpty()) {
            echo("versions: " + s.controllers.joinToString { "${it.label} ${it.version ?: "not known"}" })
        }
        if (!s.allNew) {
            val newest = s.controllers.maxOfOrNull { it.version ?: 0 } ?: 0
            val waits = s.controllers.filter { (it.version ?: -1) < newest }.map { it.label }
            if (waits.isNotEmpty()) echo("an upgrade to $newest waits for: ${waits.joinToString()}")
        }
        if (!s.leads) return
        if (!s.ready) return echo("still rebuilding its view")
        echo("jobs: ${s.jobsOpen} open of ${s.jobsKnown} known")
        for (c in s.classes) {
            val tasks = "${c.tasksLive} tasks on machines, ${c.tasksReady} waiting"
            echo("  ${c.name}: ${c.jobs} open, $tasks, oldest ${c.oldestS} s")
        }
        for (v in s.services) {
            echo("  ${v.name}: ${v.services} services, ${v.up} of ${v.wanted} replicas up")
            for (reason in v.down) echo("    $reason")
        }
        echo("teams (CPUs in use / guaranteed / at most):")
        for (t in s.teams) echo("  ${t.name}: ${t.cpus} / ${t.guaranteed} / ${t.most}")
        echo("machines:")
        for (m in s.machines) echo("  ${m.count} ${m.type} in ${m.zone}${if (m.spot) ", spot" else ""}: ${m.state}")
    }

    private fun show(j: JobView) {
        echo("${j.id}: ${j.state}, ${j.done} of ${j.tasks} tasks done, ${j.running} running, ${j.live} on machines")
        for (reason in j.waitsFor) echo("  waits: $reason")
    }

    private companion object {
        /** A controller of a newer version may tell more. */
        val LENIENT = Json { ignoreUnknownKeys = true }
        const val TIMEOUT_MS = 3000
        val PORTS = 1..65_535
        const val UNREACHABLE = 1
        const val UNKNOWN = 3
    }
}
