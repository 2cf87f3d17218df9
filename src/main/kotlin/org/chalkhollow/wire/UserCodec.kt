package org.chalkhollow.wire

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape
import org.msgpack.core.MessagePack
import org.msgpack.core.MessagePackException
import org.msgpack.core.MessageUnpacker
import java.io.IOException

/**
 * Decodes users' job submissions and encodes the responses to users. Jobs are stored in the same form as they are
 * submitted. Functions that return a job throw [MalformedMessageException].
 */
object UserCodec {
    private const val MAX_TASKS = 100_000L
    private const val MAX_NAME_CHARS = 200
    private const val MAX_TYPES = 64
    private const val ID_PREFIX = "j-"
    private const val MIN_ID_CHARS = 3
    private const val MAX_ID_CHARS = 64

    private val priorities =
        mapOf(
            "production" to Priority.PRODUCTION,
            "high" to Priority.HIGH,
            "standard" to Priority.STANDARD,
            "best_effort" to Priority.BEST_EFFORT,
        )
    private val shapes = mapOf("batch" to Shape.ARRAY, "group" to Shape.GANG, "service" to Shape.SERVICE)
    private val shapeNames = shapes.entries.associate { (name, value) -> value to name }
    private val priorityNames = priorities.entries.associate { (name, value) -> value to name }

    /** Whether [id] has the form of a job id: `j-` and decimal digits. */
    fun isValidId(id: String): Boolean =
        id.length in MIN_ID_CHARS..MAX_ID_CHARS && id.startsWith(ID_PREFIX) &&
            (ID_PREFIX.length until id.length).all { id[it] in '0'..'9' }

    /** Decodes a submission. Every field is required; only `flavours`, `site` and `dueS` may be null or omitted. */
    fun job(bytes: ByteArray): JobSpec = read(Pack.decodeMap(bytes), stored = false)

    /**
     * Decodes a job that was stored in the form of [toMap]. Earlier versions accepted and stored jobs without an image,
     * and services without an estimated run time.
     */
    fun storedJob(fields: Fields): JobSpec = read(fields, stored = true)

    /**
     * The job id in a submission that [job] rejects, or null if there is no valid id before the place where the body is
     * truncated or malformed.
     */
    fun findJobId(bytes: ByteArray): String? {
        var id: String? = null
        try {
            val unpacker = MessagePack.newDefaultUnpacker(bytes)
            if (!unpacker.nextFormat.valueType.isMapType) return null
            repeat(unpacker.unpackMapHeader()) {
                val isId = unpacker.unpackTextOrSkip() == "nameId"
                val value = unpacker.unpackTextOrSkip()
                if (isId && value != null && isValidId(value)) id = value
            }
        } catch (expected: MessagePackException) {
            // The body is known to be malformed; an id before the malformed part is still returned.
        } catch (expected: IOException) {
            // The body is truncated; an id before its end is still returned.
        }
        return id
    }

    private fun MessageUnpacker.unpackTextOrSkip(): String? {
        if (nextFormat.valueType.isStringType) return unpackString()
        skipValue()
        return null
    }

    private fun read(fields: Fields, stored: Boolean): JobSpec {
        val id = fields.text("nameId")
        if (!isValidId(id)) Fields.invalid("nameId")
        val shape = shapes[fields.text("shape")] ?: Fields.invalid("shape")
        val tasks = tasks(fields)
        val types = types(fields)
        return JobSpec(
            id = id,
            workload = shortText(fields.text("workload"), "workload"),
            team = shortText(fields.text("owner"), "owner"),
            shape = shape,
            priority = priorities[fields.text("urgency")] ?: Fields.invalid("urgency"),
            tasks = tasks,
            taskResources = Resources(fields.amount("vcpus"), fields.amount("cards"), fields.amount("memoryGb")),
            image = image(fields, stored),
            imageGb = if (stored && !fields.has("pullGb")) 0.0 else fields.amount("pullGb"),
            types = types,
            zone = fields.textOrNull("site")?.let { shortText(it, "site") },
            together = fields.flag("together"),
            spread = fields.flag("spread"),
            spotAllowed = fields.flag("standby"),
            expectedS = expectedS(fields, optional = stored && shape == Shape.SERVICE),
            checkpointS = fields.amount("snapshotS"),
            saveS = fields.amount("flushS"),
            dueS = if (fields.has("dueS")) fields.amount("dueS") else null,
        )
    }

    private fun tasks(fields: Fields): Int {
        val tasks = fields.long("pieces")
        if (tasks !in 1..MAX_TASKS) Fields.invalid("pieces")
        return tasks.toInt()
    }

    private fun types(fields: Fields): List<String>? {
        if (!fields.has("flavours")) return null
        val types = fields.texts("flavours").onEach { shortText(it, "flavours") }
        if (types.size > MAX_TYPES) Fields.invalid("flavours")
        return types
    }

    private fun image(fields: Fields, stored: Boolean): String? =
        if (stored && !fields.has("bundle")) null else shortText(fields.text("bundle"), "bundle")

    private fun expectedS(fields: Fields, optional: Boolean): Double =
        if (optional && !fields.has("expectedS")) 0.0 else fields.amount("expectedS")

    /** A job in the form in which it is stored; null fields are omitted. */
    fun toMap(spec: JobSpec): Map<String, Any?> =
        mapOf(
            "nameId" to spec.id,
            "workload" to spec.workload,
            "owner" to spec.team,
            "shape" to shapeNames.getValue(spec.shape),
            "urgency" to priorityNames.getValue(spec.priority),
            "pieces" to spec.tasks,
            "vcpus" to spec.taskResources.cpus,
            "cards" to spec.taskResources.gpus,
            "memoryGb" to spec.taskResources.memoryGb,
            "bundle" to spec.image,
            "pullGb" to spec.imageGb,
            "flavours" to spec.types,
            "site" to spec.zone,
            "together" to spec.together,
            "spread" to spec.spread,
            "standby" to spec.spotAllowed,
            "expectedS" to spec.expectedS,
            "snapshotS" to spec.checkpointS,
            "flushS" to spec.saveS,
            "dueS" to spec.dueS,
        ).filterValues { it != null }

    /** The response to a submission or a cancellation. */
    fun status(id: String, state: String): Map<String, Any?> = mapOf("nameId" to id, "status" to state)

    /** The response to a query, with the numbers of [done] and [running] tasks. */
    fun progress(id: String, state: String, done: Int, running: Int): Map<String, Any?> =
        mapOf("nameId" to id, "status" to state, "done" to done, "running" to running)

    private fun shortText(text: String, name: String): String {
        if (text.isEmpty() || text.length > MAX_NAME_CHARS) Fields.invalid(name)
        return text
    }
}
