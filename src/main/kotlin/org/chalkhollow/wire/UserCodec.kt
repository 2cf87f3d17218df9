package org.chalkhollow.wire

import org.chalkhollow.model.JobSpec
import org.chalkhollow.model.Priority
import org.chalkhollow.model.Resources
import org.chalkhollow.model.Shape
import org.msgpack.core.MessagePack
import org.msgpack.core.MessagePackException
import org.msgpack.core.MessageUnpacker

/** The users' side of the protocol: job descriptions in, job states out. */
object UserCodec {
    private const val MAX_TASKS = 100_000L
    private const val MAX_NAME = 200

    private val priorities =
        mapOf(
            "production" to Priority.PRODUCTION,
            "high" to Priority.HIGH,
            "standard" to Priority.STANDARD,
            "best_effort" to Priority.BEST_EFFORT,
        )
    private val shapes = mapOf("batch" to Shape.ARRAY, "group" to Shape.GANG, "service" to Shape.SERVICE)
    private val shapeNames = shapes.entries.associate { (k, v) -> v to k }
    private val priorityNames = priorities.entries.associate { (k, v) -> v to k }

    /** Whether [id] has the form that users' job ids always have. */
    fun validId(id: String): Boolean =
        id.length in 3..64 && id.startsWith("j-") && (2 until id.length).all { id[it] in '0'..'9' }

    /** Reads a submission, which must have every field; only `flavours`, `site` and `dueS` may be null or omitted. */
    fun job(bytes: ByteArray): JobSpec = read(Pack.decodeMap(bytes), stored = false)

    /**
     * Reads a job that was written down by [map], also by earlier versions that took jobs without an image or an
     * estimate.
     */
    fun storedJob(f: Fields): JobSpec = read(f, stored = true)

    /**
     * The job id in a submission that [job] cannot read, if it can still be read and has the right form: the body may
     * be cut short or malformed after it.
     */
    fun idIn(bytes: ByteArray): String? {
        var id: String? = null
        try {
            val unpacker = MessagePack.newDefaultUnpacker(bytes)
            if (!unpacker.nextFormat.valueType.isMapType) return null
            repeat(unpacker.unpackMapHeader()) {
                val isId = unpacker.textOrSkip() == "nameId"
                val value = unpacker.textOrSkip()
                if (isId && value != null && validId(value)) id = value
            }
        } catch (e: MessagePackException) {
            // What was read before stands.
        } catch (e: java.io.IOException) {
            // The same.
        }
        return id
    }

    private fun MessageUnpacker.textOrSkip(): String? {
        if (nextFormat.valueType.isStringType) return unpackString()
        skipValue()
        return null
    }

    private fun read(f: Fields, stored: Boolean): JobSpec {
        val id = f.text("nameId")
        if (!validId(id)) throw MalformedMessageException("field nameId is missing or invalid")
        val shape = shapes[f.text("shape")] ?: throw MalformedMessageException("field shape is missing or invalid")
        val tasks = f.long("pieces")
        if (tasks !in 1..MAX_TASKS) throw MalformedMessageException("field pieces is missing or invalid")
        val types = if (f.has("flavours")) f.texts("flavours").onEach { short(it, "flavours") } else null
        if (types != null && types.size > 64) throw MalformedMessageException("field flavours is missing or invalid")
        return JobSpec(
            id = id,
            workload = short(f.text("workload"), "workload"),
            team = short(f.text("owner"), "owner"),
            shape = shape,
            priority =
                priorities[f.text("urgency")] ?: throw MalformedMessageException("field urgency is missing or invalid"),
            tasks = tasks.toInt(),
            taskResources = Resources(f.amount("vcpus"), f.amount("cards"), f.amount("memoryGb")),
            image = if (stored && !f.has("bundle")) null else short(f.text("bundle"), "bundle"),
            imageGb = if (stored && !f.has("pullGb")) 0.0 else f.amount("pullGb"),
            types = types,
            zone = f.textOrNull("site")?.let { short(it, "site") },
            together = f.flag("together"),
            spread = f.flag("spread"),
            spotAllowed = f.flag("standby"),
            expectedS = if (stored && shape == Shape.SERVICE && !f.has("expectedS")) 0.0 else f.amount("expectedS"),
            checkpointS = f.amount("snapshotS"),
            saveS = f.amount("flushS"),
            dueS = if (f.has("dueS")) f.amount("dueS") else null,
        )
    }

    /** The same job as a map, in the form in which jobs are written down: fields that are null are left out. */
    fun map(spec: JobSpec): Map<String, Any?> =
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

    fun status(id: String, state: String): Map<String, Any?> = mapOf("nameId" to id, "status" to state)

    fun progress(id: String, state: String, done: Int, running: Int): Map<String, Any?> =
        mapOf("nameId" to id, "status" to state, "done" to done, "running" to running)

    private fun short(text: String, name: String): String {
        if (text.isEmpty() ||
            text.length > MAX_NAME
        ) {
            throw MalformedMessageException("field $name is missing or invalid")
        }
        return text
    }
}
