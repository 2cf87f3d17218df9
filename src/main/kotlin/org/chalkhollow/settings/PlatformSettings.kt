package org.chalkhollow.settings

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import org.chalkhollow.model.Team
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Settings that cannot be used; [message] is one line that names the field. */
class InvalidSettingsException(message: String) : Exception(message, null, false, false)

/** An address as `host:port`. */
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"
}

/** Another controller. */
data class Peer(val label: String, val address: Address)

/** Budget and limits of the state service. */
data class StateLimits(val rps: Double, val writeRps: Double, val valueBytes: Int, val txnOps: Int) {
    /** The smaller of each. */
    fun within(other: StateLimits) =
        StateLimits(
            minOf(rps, other.rps),
            minOf(writeRps, other.writeRps),
            minOf(valueBytes, other.valueBytes),
            minOf(txnOps, other.txnOps),
        )
}

/** An aim on how soon a class of jobs should start or finish. */
data class Objective(
    val kind: String,
    val workload: String?,
    val withinS: Double?,
    val share: Double,
    val times: Double = 1.0,
)

/** What the platform hands to every controller. */
data class PlatformSettings(
    val label: String,
    val location: String,
    val clientListen: Address,
    val peerAddress: Address,
    val peers: List<Peer>,
    val state: Address,
    val cloud: Address,
    val teams: List<Team>,
    val objectives: List<Objective>,
    val heartbeatIntervalS: Double,
    val leaseS: Double,
    val cancelS: Double,
    /** What this controller keeps within: the smaller of the limits that hold now and those that will. */
    val stateLimits: StateLimits,
    val cloudRps: Double,
    val listLagS: Double,
    val maxConnections: Int,
    val skewMs: Double,
    /** What the state service takes now, and what versions before `next` keep within. */
    val stateLimitsNow: StateLimits = stateLimits,
) {
    companion object {
        /** Reads and checks the settings file at [path]. */
        fun load(path: Path): PlatformSettings {
            val text =
                try {
                    Files.readString(path)
                } catch (e: IOException) {
                    throw InvalidSettingsException("$path: cannot be read")
                }
            return parse(text, path.toString())
        }

        /** Parses settings; [source] is what errors call them. */
        fun parse(text: String, source: String): PlatformSettings {
            val root =
                try {
                    Json.parseToJsonElement(text)
                } catch (e: SerializationException) {
                    throw InvalidSettingsException("$source: not JSON")
                }
            return read(JsonField(root, "", source))
        }

        private fun read(root: JsonField): PlatformSettings {
            val facts = root.at("facts")
            val workers = facts.at("workers")
            val state = facts.at("state")
            val cloud = facts.at("cloud")
            val limits = limits(state, null)
            val settings =
                PlatformSettings(
                    label = root.at("label").text(),
                    location = root.at("location").text(),
                    clientListen = root.at("client_listen").address(),
                    peerAddress = root.at("mesh_addr").address(),
                    peers = root.at("seeds").items().map { Peer(it.at("label").text(), it.at("endpoint").address()) },
                    state = root.at("external").at("state").address(),
                    cloud = root.at("external").at("cloud").address(),
                    teams = facts.at("teams").items().map(::team),
                    objectives = facts.optional("objectives")?.items()?.map(::objective) ?: emptyList(),
                    heartbeatIntervalS = workers.at("report_s").number(0.05, 600.0),
                    leaseS = workers.at("lease_s").number(0.5, 3600.0),
                    cancelS = workers.at("cancel_s").number(1.0, 86400.0),
                    stateLimits = state.optional("next")?.let { limits(it, limits).within(limits) } ?: limits,
                    stateLimitsNow = limits,
                    cloudRps = cloud.at("rps").number(0.05, 1e5),
                    listLagS = cloud.at("list_lag_s").number(0.0, 3600.0),
                    maxConnections =
                        facts
                            .optional("machine_limits")
                            ?.optional("max_connections")
                            ?.number(16.0, 1e6)
                            ?.toInt() ?: 1000,
                    skewMs = facts.optional("skew_ms")?.number(0.0, 1e7) ?: 1000.0,
                )
            val labels = settings.peers.map { it.label } + settings.label
            if (labels.toSet().size != labels.size) root.at("seeds").fail("names a controller twice")
            return settings
        }

        /** Limits of the state service; what is not named in [n] is as in [others], without which all must be. */
        private fun limits(n: JsonField, others: StateLimits?): StateLimits {
            fun number(name: String, least: Double, most: Double, other: Double?): Double =
                if (other == null) n.at(name).number(least, most) else n.optional(name)?.number(least, most) ?: other
            return StateLimits(
                rps = number("rps", 1.0, 1e6, others?.rps),
                writeRps = number("write_rps", 1.0, 1e6, others?.writeRps),
                valueBytes = (number("value_kb", 1.0, 1e4, others?.valueBytes?.let { it / 1024.0 }) * 1024).toInt(),
                txnOps = number("txn_ops", 3.0, 1e4, others?.txnOps?.toDouble()).toInt(),
            )
        }

        private fun team(n: JsonField): Team {
            val team =
                Team(
                    name = n.at("name").text(),
                    cpus = n.at("cpus").number(0.0, 1e9),
                    cpusMax = n.at("cpus_max").number(0.0, 1e9),
                    gpus = n.optional("gpus")?.number(0.0, 1e9) ?: 0.0,
                    gpusMax = n.optional("gpus_max")?.number(0.0, 1e9) ?: 0.0,
                )
            if (team.cpusMax < team.cpus) n.at("cpus_max").fail("is below cpus")
            return team
        }

        private fun objective(n: JsonField) =
            Objective(
                kind = n.at("kind").text(),
                workload = n.optional("class")?.text(),
                withinS = n.optional("within_s")?.number(0.0, 1e9),
                share = n.optional("share")?.number(0.0, 1.0) ?: 1.0,
                times = n.optional("times")?.number(0.0, 1e6) ?: 1.0,
            )
    }
}

/** A JSON element that knows its path, so that an error can name the field. */
private class JsonField(val element: JsonElement, val path: String, val source: String) {
    fun at(name: String): JsonField =
        optional(name) ?: throw InvalidSettingsException("$source: field ${join(name)} is missing")

    fun optional(name: String): JsonField? {
        val map = element as? JsonObject ?: fail("is not an object")
        val child = map[name]?.takeIf { it !is JsonNull } ?: return null
        return JsonField(child, join(name), source)
    }

    fun items(): List<JsonField> =
        (element as? JsonArray ?: fail("is not a list")).mapIndexed { i, e ->
            JsonField(e, "$path[$i]", source)
        }

    fun text(): String {
        val p = element as? JsonPrimitive
        if (p == null || !p.isString || p.content.isEmpty()) fail("is not text")
        return p.content
    }

    fun number(least: Double, most: Double): Double {
        val p = element as? JsonPrimitive
        val v = if (p == null || p.isString) null else p.doubleOrNull
        if (v == null || !v.isFinite()) fail("is not a number")
        if (v < least || v > most) fail("is out of range ($least to $most)")
        return v
    }

    fun address(): Address {
        val text = text()
        val colon = text.lastIndexOf(':')
        val port = if (colon > 0) text.substring(colon + 1).toIntOrNull() else null
        if (port == null || port !in 1..65535) fail("is not host:port")
        return Address(text.substring(0, colon), port)
    }

    fun fail(why: String): Nothing = throw InvalidSettingsException("$source: field ${path.ifEmpty { "(root)" }} $why")

    private fun join(name: String) = if (path.isEmpty()) name else "$path.$name"
}
