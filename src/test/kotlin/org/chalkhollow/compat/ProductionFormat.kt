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
 * What the version in production reads, written down by hand from its code and on its own, so that it does not change
 * when the code does: records and their fields, messages and theirs, names of states and kinds. Null for what is within
 * it, else why not. It is stricter than production, which ignores unknown fields: a new field has to be entered here as
 * one of those ([IGNORED]), by somebody who has thought of what becomes of it when production writes the record again.
 */
object ProductionFormat {
    private class Foreign(why: String) : Exception(why)

    /** Kinds of records and messages with the fields that production does not know and ignores. */
    val IGNORED = mapOf("hello" to setOf("version"))

    private val shapes = setOf("batch", "group", "service")
    private val urgencies = setOf("production", "high", "standard", "best_effort")

    /** Checks a record that is written under [key]. */
    fun record(key: String, bytes: ByteArray): String? =
        try {
            record(key, map(Pack.decode(bytes), key))
            null
        } catch (e: Foreign) {
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
                require(parts[1].length == 12, "the generation has not 12 digits")
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
            else -> throw Foreign("production knows no such key")
        }
    }

    private fun job(id: String, f: Map<String, Any?>) {
        jobId(id)
        when (f["s"]) {
            "open" -> f.only("s" to ::text, "at" to ::count, "j" to { description(map(it, "j")) })
            "done" -> f.only("s" to ::text, "n" to ::count)
            "cancelled" -> f.only("s" to ::text, "n" to ::count, "j?" to { description(map(it, "j")) })
            else -> throw Foreign("production takes a job in state ${f["s"]} for cancelled")
        }
    }

    private fun description(f: Map<String, Any?>) =
        f.only(
            "nameId" to { jobId(text(it)) },
            "workload" to ::name,
            "owner" to ::name,
            "shape" to { oneOf(it, shapes) },
            "urgency" to { oneOf(it, urgencies) },
            "pieces" to { require(it is Long && it in 1..100_000, "$it tasks") },
            "vcpus" to ::amount,
            "cards" to ::amount,
            "memoryGb" to ::amount,
            "bundle?" to ::name,
            "pullGb?" to ::amount,
            "flavours?" to {
                texts(it)
                require(list(it).size <= 64, "more than 64 types")
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
        require(parts.size == 3, "a row of ${parts.size} parts")
        jobId(text(parts[0]))
        text(parts[1])
        require(ranges.matches(text(parts[2])), "no ranges: ${parts[2]}")
    }

    /** All of [fields] and no others; those with a question mark may be absent. */
    private fun Map<String, Any?>.only(vararg fields: Pair<String, (Any?) -> Any?>) {
        for ((name, check) in fields) {
            val value = get(name.removeSuffix("?"))
            if (value == null) require(name.endsWith('?'), "field $name is missing") else check(value)
        }
        val known = fields.map { it.first.removeSuffix("?") }.toSet()
        require(known.containsAll(keys), "fields that production does not know: ${keys - known}")
    }

    private fun require(holds: Boolean, why: String) {
        if (!holds) throw Foreign(why)
    }

    private fun text(v: Any?): String = v as? String ?: throw Foreign("$v is not text")

    private fun name(v: Any?) = require(text(v).length in 1..200, "a name of ${text(v).length} letters")

    private fun flag(v: Any?) = require(v is Boolean, "$v is not a flag")

    private fun count(v: Any?) = require(v is Long && v >= 0, "$v is not a count")

    private fun amount(v: Any?) =
        require(
            (v is Double && v.isFinite() && v in 0.0..1e9) || (v is Long && v in 0..1_000_000_000),
            "$v is not an amount",
        )

    private fun list(v: Any?): List<Any?> = v as? List<Any?> ?: throw Foreign("$v is not a list")

    private fun texts(v: Any?) = list(v).forEach(::text)

    private fun oneOf(v: Any?, names: Set<String>) = require(v in names, "production does not know $v")

    private fun number(text: String) =
        require(
            text.isNotEmpty() && text.length < 19 &&
                text.all {
                    it in '0'..'9'
                },
            "$text is not a number",
        )

    private fun jobId(id: String) = require(Regex("j-[0-9]{1,62}").matches(id), "$id is not a job id")

    @Suppress("UNCHECKED_CAST") // Pack decodes maps with text keys only
    private fun map(v: Any?, what: String): Map<String, Any?> =
        v as? Map<String, Any?> ?: throw Foreign("$what is not a map")

    /** The messages that production knows, with [IGNORED] fields beside its own. */
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

    /** Checks a frame that is sent to another controller. */
    @OptIn(ExperimentalSerializationApi::class)
    fun frame(bytes: ByteArray): String? =
        try {
            val message = Cbor.decodeFromByteArray(Message.serializer(), bytes)
            if (bytes.size > 256 * 1024) {
                "a frame of ${bytes.size} bytes"
            } else if (message is Message.Forward &&
                message.kind !in 1..3
            ) {
                "production answers 503 to a request of kind ${message.kind}"
            } else {
                null
            }
        } catch (e: SerializationException) {
            e.message ?: "no message of production's"
        }
}
