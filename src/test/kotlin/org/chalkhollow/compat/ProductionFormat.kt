package org.chalkhollow.compat

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.chalkhollow.wire.MalformedMessageException
import org.chalkhollow.wire.Pack
import java.util.Base64

/**
 * The records and messages that the version in production can read, with their fields and enum values. It is written
 * by hand from production's code and uses none of the current code, so that it does not change with it. [record] and
 * [frame] return null for what production can read, and the reason otherwise.
 *
 * The check is stricter than production, which ignores unknown fields. A new field must be added to [IGNORED] here.
 * Before adding one, consider that production drops the field when it writes the record again.
 */
object ProductionFormat {
    private class UnsupportedFormat(reason: String) : Exception(reason)

    /** The fields that production does not know and ignores, by kind of record or message. */
    val IGNORED = mapOf("hello" to setOf("version"))

    private val shapes = setOf("batch", "group", "service")
    private val priorities = setOf("production", "high", "standard", "best_effort")

    /** Checks a record that is stored under [key]. Returns null if production can read it, otherwise the reason. */
    fun record(key: String, bytes: ByteArray): String? =
        try {
            record(key, map(Pack.decode(bytes), key))
            null
        } catch (e: UnsupportedFormat) {
            "$key: ${e.message}"
        } catch (e: MalformedMessageException) {
            "$key: ${e.message}"
        }

    private fun record(key: String, f: Map<String, Any?>) {
        val parts = key.split('/')
        when {
            key == "ch/lead" ->
                f.only(
                    "owner" to ::text,
                    "life" to ::count,
                    "generation" to ::count,
                    "writes" to ::count,
                )
            parts[0] == "job" && parts.size == 2 -> job(parts[1], f)
            parts[0] == "prog" && parts.size == 3 -> {
                jobId(parts[1])
                number(parts[2])
                f.only("b" to { Base64.getDecoder().decode(text(it)) })
            }
            parts[0] == "mark" && parts.size == 3 -> {
                require(parts[1].length == 12, "the fencing token ${parts[1]} does not have 12 digits")
                number(parts[1])
                number(parts[2])
                f.only("n" to ::count, "a" to { rows -> list(rows).forEach(::markerRow) })
            }
            key == "fleet/base" -> f.only("names" to ::texts)
            parts.take(2) == listOf("fleet", "images") && parts.size == 3 -> {
                number(parts[2])
                f.only(
                    "images" to ::texts,
                    "held" to { held -> map(held, "held").values.forEach { list(it).forEach(::count) } },
                )
            }
            else -> throw UnsupportedFormat("production does not know this key")
        }
    }

    private fun job(id: String, f: Map<String, Any?>) {
        jobId(id)
        when (f["s"]) {
            "open" -> f.only("s" to ::text, "at" to ::count, "j" to { jobSpec(map(it, "j")) })
            "done" -> f.only("s" to ::text, "n" to ::count)
            "cancelled" -> f.only("s" to ::text, "n" to ::count, "j?" to { jobSpec(map(it, "j")) })
            else -> throw UnsupportedFormat("production reads a job in the unknown state ${f["s"]} as cancelled")
        }
    }

    private fun jobSpec(f: Map<String, Any?>) =
        f.only(
            "nameId" to { jobId(text(it)) },
            "workload" to ::name,
            "owner" to ::name,
            "shape" to { oneOf(it, shapes) },
            "urgency" to { oneOf(it, priorities) },
            "pieces" to { require(it is Long && it in 1..100_000, "the number of tasks is $it, not 1 to 100000") },
            "vcpus" to ::amount,
            "cards" to ::amount,
            "memoryGb" to ::amount,
            "bundle?" to ::name,
            "pullGb?" to ::amount,
            "flavours?" to {
                texts(it)
                require(list(it).size <= 64, "${list(it).size} machine types, at most 64 are allowed")
            },
            "site?" to ::name,
            "together" to ::flag,
            "spread" to ::flag,
            "standby" to ::flag,
            "expectedS" to ::amount,
            "snapshotS" to ::amount,
            "flushS" to ::amount,
            "dueS?" to ::amount,
        )

    private val ranges = Regex("""\d+(-\d+)?(,\d+(-\d+)?)*""")

    private fun markerRow(row: Any?) {
        val parts = list(row)
        require(parts.size == 3, "a marker row has ${parts.size} instead of 3 elements")
        jobId(text(parts[0]))
        text(parts[1])
        require(ranges.matches(text(parts[2])), "${parts[2]} is not a list of index ranges")
    }

    /** Requires that this map has all of [fields] and no others. Fields whose name ends with `?` are optional. */
    private fun Map<String, Any?>.only(vararg fields: Pair<String, (Any?) -> Any?>) {
        for ((name, check) in fields) {
            val value = get(name.removeSuffix("?"))
            if (value == null) require(name.endsWith('?'), "field $name is missing") else check(value)
        }
        val known = fields.map { it.first.removeSuffix("?") }.toSet()
        require(known.containsAll(keys), "fields that production does not know: ${keys - known}")
    }

    private fun require(holds: Boolean, reason: String) {
        if (!holds) throw UnsupportedFormat(reason)
    }

    private fun text(v: Any?): String = v as? String ?: throw UnsupportedFormat("$v is not text")

    private fun name(v: Any?) =
        require(text(v).length in 1..200, "a name has ${text(v).length} characters, not 1 to 200")

    private fun flag(v: Any?) = require(v is Boolean, "$v is not a Boolean")

    private fun count(v: Any?) = require(v is Long && v >= 0, "$v is not an integer of at least 0")

    private fun amount(v: Any?) =
        require(
            (v is Double && v.isFinite() && v in 0.0..1e9) || (v is Long && v in 0..1_000_000_000),
            "$v is not a number from 0 to 1e9",
        )

    private fun list(v: Any?): List<Any?> = v as? List<Any?> ?: throw UnsupportedFormat("$v is not a list")

    private fun texts(v: Any?) = list(v).forEach(::text)

    private fun oneOf(v: Any?, names: Set<String>) = require(v in names, "production does not know the value $v")

    private fun number(text: String) =
        require(
            text.isNotEmpty() && text.length < 19 &&
                text.all {
                    it in '0'..'9'
                },
            "$text is not a decimal number",
        )

    private fun jobId(id: String) = require(Regex("j-[0-9]{1,62}").matches(id), "$id is not a job id")

    @Suppress("UNCHECKED_CAST") // Pack decodes maps with text keys only
    private fun map(v: Any?, what: String): Map<String, Any?> =
        v as? Map<String, Any?> ?: throw UnsupportedFormat("$what is not a map")

    /** The messages that production knows, with their fields and those in [IGNORED]. */
    @Serializable
    private sealed interface Message {
        @Serializable
        @SerialName("hello")
        class Hello(val label: String, val incarnation: Long, val version: Int = 0) : Message

        @Serializable
        @SerialName("promise?")
        class PromiseAsk(val generation: Long, val seq: Long, val ready: Boolean) : Message

        @Serializable
        @SerialName("promise")
        class Promise(
            val generation: Long,
            val seq: Long,
            val granted: Boolean,
            val stateServed: Boolean,
            val reports: Int = 0,
            val prepared: Boolean = false,
        ) : Message

        @Serializable
        @SerialName("release")
        class Release(val generation: Long) : Message

        @Serializable
        @SerialName("vote?")
        class VoteAsk(val generation: Long, val stamp: Long, val seq: Long) : Message

        @Serializable
        @SerialName("vote")
        class Vote(val generation: Long, val seq: Long, val granted: Boolean) : Message

        @Serializable
        @SerialName("forward")
        class Forward(val seq: Long, val kind: Int, val jobId: String, val body: ByteArray) : Message

        @Serializable
        @SerialName("forwarded")
        class Forwarded(val seq: Long, val status: Int, val body: ByteArray, val retryAfterS: Int) : Message
    }

    /** Checks a frame for another controller. Returns null if production can read it, otherwise the reason. */
    @OptIn(ExperimentalSerializationApi::class)
    fun frame(bytes: ByteArray): String? =
        try {
            val message = Cbor.decodeFromByteArray(Message.serializer(), bytes)
            if (bytes.size > 256 * 1024) {
                "a frame has ${bytes.size} bytes, at most 262144 are allowed"
            } else if (message is Message.Forward &&
                message.kind !in 1..3
            ) {
                "production responds with 503 to a forwarded request of kind ${message.kind}"
            } else {
                null
            }
        } catch (e: SerializationException) {
            e.message ?: "production does not know this message"
        }
}
