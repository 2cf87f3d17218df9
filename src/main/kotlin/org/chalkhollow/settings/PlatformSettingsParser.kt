package org.chalkhollow.settings

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.chalkhollow.model.Team
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads [PlatformSettings] from JSON. Fields that this version does not know are ignored. */
object PlatformSettingsParser {
    /** Reads and checks the file at [path]; throws [InvalidSettingsException]. */
    fun load(path: Path): PlatformSettings {
        val text =
            try {
                Files.readString(path)
            } catch (e: IOException) {
                throw InvalidSettingsException("$path: cannot be read", e)
            }
        return parse(text, path.toString())
    }

    /** Parses and checks [text]. Throws an [InvalidSettingsException] that names [source]. */
    fun parse(text: String, source: String): PlatformSettings = settings(JsonField(parseJson(text, source), "", source))

    private fun parseJson(text: String, source: String): JsonElement =
        try {
            Json.parseToJsonElement(text)
        } catch (e: SerializationException) {
            throw InvalidSettingsException("$source: not JSON", e)
        }

    private fun settings(root: JsonField): PlatformSettings {
        val facts = root.required("facts")
        val workers = facts.required("workers")
        val state = facts.required("state")
        val cloud = facts.required("cloud")
        val limits = stateLimits(state, null)
        val settings =
            PlatformSettings(
                label = root.required("label").text(),
                location = root.required("location").text(),
                clientListen = root.required("client_listen").address(),
                peerAddress = root.required("mesh_addr").address(),
                peers = root.required("seeds").items().map(::peer),
                state = root.required("external").required("state").address(),
                cloud = root.required("external").required("cloud").address(),
                teams = facts.required("teams").items().map(::team),
                objectives = facts.optional("objectives")?.items()?.map(::objective) ?: emptyList(),
                heartbeatIntervalS = workers.required("report_s").number(MIN_INTERVAL_S, MAX_INTERVAL_S),
                workerLeaseS = workers.required("lease_s").number(MIN_LEASE_S, MAX_LEASE_S),
                cancelS = workers.required("cancel_s").number(1.0, MAX_CANCEL_S),
                stateLimits = state.optional("next")?.let { stateLimits(it, limits).coerceAtMost(limits) } ?: limits,
                currentStateLimits = limits,
                cloudRps = cloud.required("rps").number(MIN_CLOUD_RPS, MAX_CLOUD_RPS),
                listLagS = cloud.required("list_lag_s").number(0.0, MAX_LIST_LAG_S),
                maxConnections = maxConnections(facts),
                skewMs = facts.optional("skew_ms")?.number(0.0, MAX_SKEW_MS) ?: DEFAULT_SKEW_MS,
            )
        val labels = settings.peers.map { it.label } + settings.label
        if (labels.toSet().size != labels.size) root.required("seeds").fail("names a controller twice")
        return settings
    }

    private fun peer(field: JsonField) = Peer(field.required("label").text(), field.required("endpoint").address())

    private fun maxConnections(facts: JsonField): Int =
        facts
            .optional("machine_limits")
            ?.optional("max_connections")
            ?.number(MIN_CONNECTIONS, MAX_CONNECTIONS)
            ?.toInt() ?: DEFAULT_CONNECTIONS

    /** Limits of the state service. Those missing in [field] are taken from [fallback], or required if it is null. */
    private fun stateLimits(field: JsonField, fallback: StateLimits?): StateLimits {
        fun number(name: String, min: Double, max: Double, default: Double?): Double =
            if (default == null) {
                field.required(name).number(min, max)
            } else {
                field.optional(name)?.number(min, max) ?: default
            }

        val defaultValueKb = fallback?.valueBytes?.let { it / BYTES_PER_KB }
        return StateLimits(
            rps = number("rps", 1.0, MAX_STATE_RPS, fallback?.rps),
            writeRps = number("write_rps", 1.0, MAX_STATE_RPS, fallback?.writeRps),
            valueBytes = (number("value_kb", 1.0, MAX_VALUE_KB, defaultValueKb) * BYTES_PER_KB).toInt(),
            txnOps = number("txn_ops", MIN_TXN_OPS, MAX_TXN_OPS, fallback?.txnOps?.toDouble()).toInt(),
        )
    }

    private fun team(field: JsonField): Team {
        val team =
            Team(
                name = field.required("name").text(),
                cpus = field.required("cpus").number(0.0, MAX_AMOUNT),
                cpusMax = field.required("cpus_max").number(0.0, MAX_AMOUNT),
                gpus = field.optional("gpus")?.number(0.0, MAX_AMOUNT) ?: 0.0,
                gpusMax = field.optional("gpus_max")?.number(0.0, MAX_AMOUNT) ?: 0.0,
            )
        if (team.cpusMax < team.cpus) field.required("cpus_max").fail("is below cpus")
        return team
    }

    private fun objective(field: JsonField) =
        Objective(
            kind = field.required("kind").text(),
            workload = field.optional("class")?.text(),
            withinS = field.optional("within_s")?.number(0.0, MAX_AMOUNT),
            share = field.optional("share")?.number(0.0, 1.0) ?: 1.0,
            deadlineFactor = field.optional("times")?.number(0.0, MAX_DEADLINE_FACTOR) ?: 1.0,
        )

    private const val MIN_INTERVAL_S = 0.05
    private const val MAX_INTERVAL_S = 600.0
    private const val MIN_LEASE_S = 0.5
    private const val MAX_LEASE_S = 3600.0
    private const val MAX_CANCEL_S = 86_400.0
    private const val MIN_CLOUD_RPS = 0.05
    private const val MAX_CLOUD_RPS = 1e5
    private const val MAX_LIST_LAG_S = 3600.0
    private const val MAX_SKEW_MS = 1e7
    private const val DEFAULT_SKEW_MS = 1000.0
    private const val MIN_CONNECTIONS = 16.0
    private const val MAX_CONNECTIONS = 1e6
    private const val DEFAULT_CONNECTIONS = 1000
    private const val MAX_STATE_RPS = 1e6
    private const val MAX_VALUE_KB = 1e4
    private const val BYTES_PER_KB = 1024.0

    private const val MIN_TXN_OPS = 3.0
    private const val MAX_TXN_OPS = 1e4
    private const val MAX_AMOUNT = 1e9
    private const val MAX_DEADLINE_FACTOR = 1e6
}
