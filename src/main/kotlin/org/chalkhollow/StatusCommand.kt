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
import org.chalkhollow.settings.Address
import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI
import java.net.URISyntaxException
import java.net.UnknownHostException

/** Prints the status of a running controller, or of one job. */
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
                ?: throw CliktError("$address does not know ${id ?: "the status path"}", statusCode = EXIT_NOT_FOUND)
        if (json) return echo(text)
        try {
            if (id == null) {
                show(LENIENT_JSON.decodeFromString(StatusView.serializer(), text))
            } else {
                show(LENIENT_JSON.decodeFromString(JobView.serializer(), text))
            }
        } catch (e: SerializationException) {
            throw CliktError("$address sent no status that this version can read", e, statusCode = EXIT_UNREACHABLE)
        }
    }

    /** The response body for [path]; null if the response has status 404. */
    private fun fetch(path: String): String? {
        val uri = uri(path)
        try {
            val connection = uri.toURL().openConnection() as HttpURLConnection
            connection.connectTimeout = TIMEOUT_MS
            connection.readTimeout = TIMEOUT_MS
            if (connection.responseCode == HttpURLConnection.HTTP_NOT_FOUND) return null
            return connection.inputStream.use { it.readBytes().decodeToString() }
        } catch (e: UnknownHostException) {
            throw CliktError("$address cannot be reached: no such host", e, statusCode = EXIT_UNREACHABLE)
        } catch (e: IOException) {
            throw CliktError("$address cannot be reached: ${e.message}", e, statusCode = EXIT_UNREACHABLE)
        }
    }

    private fun uri(path: String): URI {
        val uri =
            try {
                URI("http://$address$path")
            } catch (e: URISyntaxException) {
                throw invalidAddress(e)
            }
        if (uri.host == null || uri.port !in Address.PORTS) throw invalidAddress()
        return uri
    }

    private fun invalidAddress(cause: Exception? = null) =
        CliktError("$address is not host:port", cause, statusCode = EXIT_UNREACHABLE)

    private fun show(status: StatusView) {
        val role = if (status.leads) "leads" else "follows ${status.leader ?: "nobody it has heard of lately"}"
        echo("${status.label}: $role, generation ${status.fencingToken}")
        showVersions(status)
        if (!status.leads) return
        if (!status.ready) return echo("still rebuilding its view")
        showJobs(status)
        showTeams(status)
        showMachines(status)
    }

    private fun showVersions(status: StatusView) {
        val controllers = status.controllers
        if (controllers.isNotEmpty()) {
            echo("versions: " + controllers.joinToString { "${it.label} ${it.version ?: "not known"}" })
        }
        if (status.allNew) return
        val newest = controllers.maxOfOrNull { it.version ?: 0 } ?: 0
        val old = controllers.filter { (it.version ?: -1) < newest }.map { it.label }
        if (old.isNotEmpty()) echo("an upgrade to $newest waits for: ${old.joinToString()}")
    }

    private fun showJobs(status: StatusView) {
        echo("jobs: ${status.jobsOpen} open of ${status.jobsKnown} known")
        for (group in status.classes) {
            val tasks = "${group.tasksLive} tasks on machines, ${group.tasksReady} waiting"
            echo("  ${group.name}: ${group.jobs} open, $tasks, oldest ${group.oldestS} s")
        }
        for (group in status.services) {
            echo("  ${group.name}: ${group.services} services, ${group.up} of ${group.wanted} replicas up")
            for (reason in group.down) echo("    $reason")
        }
    }

    private fun showTeams(status: StatusView) {
        echo("teams (CPUs in use / guaranteed / at most):")
        for (team in status.teams) echo("  ${team.name}: ${team.cpus} / ${team.guaranteed} / ${team.most}")
    }

    private fun showMachines(status: StatusView) {
        echo("machines:")
        for (group in status.machines) {
            val spot = if (group.spot) ", spot" else ""
            echo("  ${group.count} ${group.type} in ${group.zone}$spot: ${group.state}")
        }
    }

    private fun show(job: JobView) {
        val tasks = "${job.done} of ${job.tasks} tasks done, ${job.running} running, ${job.live} on machines"
        echo("${job.id}: ${job.state}, $tasks")
        for (reason in job.waitsFor) echo("  waits: $reason")
    }

    private companion object {
        /** Controllers of newer versions may send additional fields. */
        val LENIENT_JSON = Json { ignoreUnknownKeys = true }
        const val TIMEOUT_MS = 3000

        // Exit codes.
        const val EXIT_UNREACHABLE = 1
        const val EXIT_NOT_FOUND = 3
    }
}
