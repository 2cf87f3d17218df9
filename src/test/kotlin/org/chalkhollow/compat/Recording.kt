package org.chalkhollow.compat

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import org.chalkhollow.model.Shape
import org.chalkhollow.peer.Frames
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.simulation.unconstrained
import org.chalkhollow.wire.Pack
import java.nio.file.Files
import java.nio.file.Path
import java.util.Base64

/**
 * Recordings of the records that a version writes to the state service and of the messages that it sends to other
 * controllers, with a few of each kind. A line is `state KEY BASE64` or `peer KIND BASE64`.
 */
object Recording {
    class Line(val source: String, val name: String, val bytes: ByteArray)

    private const val LINES_PER_KIND = 3

    /** A field that is a map with machine names as keys. */
    private const val MACHINES_FIELD = "held"

    /** Fields with enum values. Each value that occurs is recorded. */
    private val ENUM_FIELDS = setOf("shape", "urgency")

    /** The first message on a connection. The controller process creates it, which the simulation does not run. */
    private val HELLO = PeerMessage.Hello("b", 12_345_678_901, PeerMessage.VERSION)

    /** The kind of the record [value] under [key], with state and shape for a job. */
    fun kind(key: String, value: ByteArray): String {
        val prefix =
            if (key.startsWith(
                    "fleet/",
                )
            ) {
                key.split('/').take(2).joinToString("/")
            } else {
                key.substringBefore('/')
            }
        if (prefix != "job") return prefix
        val f = Pack.decodeMap(value)
        val shape = (f.map["j"] as? Map<*, *>)?.get("shape") ?: ""
        return "job ${f.text("s")} $shape"
    }

    /**
     * Runs a simulation in which every kind of record and message is written. [onWrite] is called for every value that
     * is written, [onFrame] for every message between controllers.
     */
    fun simulate(seed: Long, onWrite: (String, ByteArray) -> Unit, onFrame: (ByteArray) -> Unit): Simulation {
        val simulation = Simulation(seed)
        simulation.state.onWrite = { key, bytes -> if (bytes != null) onWrite(key, bytes) }
        simulation.onFrame = onFrame
        simulation.begin(25, 60_000)
        for (shape in listOf(Shape.GANG, Shape.SERVICE)) {
            simulation.clock.after(8000) {
                simulation.users.submit {
                    it.unconstrained().copy(
                        shape = shape,
                        tasks = 3,
                    )
                }
            }
        }
        simulation.clock.after(9000) {
            simulation.users.submit {
                it.unconstrained().copy(
                    tasks = 2000,
                    expectedS = 0.5,
                )
            }
        }
        FaultInjection(simulation).injectRandom(4, 50_000, 70_000)
        simulation.clock.after(25_000) {
            // a leader crash leads to an election
            simulation.nodes.firstOrNull { it.leads }?.let { n ->
                n.crash()
                simulation.clock.after(6000) { n.start() }
            }
        }
        simulation.clock.after(40_000) {
            // the leader steps down
            simulation.nodes.firstOrNull { it.leads }?.let { simulation.state.rejectRequestsOf(it.label, 8000) }
        }
        simulation.clock.runUntil(120_000)
        return simulation
    }

    /**
     * Runs a simulation for each of [seeds] and writes to [path] the first [LINES_PER_KIND] records or messages of each
     * kind. Later ones are added if they have a field or an enum value that no earlier one has.
     */
    fun record(seeds: LongRange, path: Path) {
        val found = sortedMapOf<String, ArrayList<String>>()
        val covered = HashSet<String>()

        fun note(kind: String, name: String, bytes: ByteArray, features: Set<String>) {
            val lines = found.getOrPut(kind) { ArrayList() }
            val adds = covered.addAll(features.map { "$kind $it" })
            if (lines.size < LINES_PER_KIND || adds) lines.add("$name ${Base64.getEncoder().encodeToString(bytes)}")
        }

        fun noteFrame(frame: ByteArray) {
            val message = checkNotNull(Frames.decode(frame))
            val kind = "peer ${label(message)}"
            note(kind, kind, frame, features(message, frame))
        }
        for (seed in seeds) {
            simulate(
                seed,
                { key, bytes -> note("state ${kind(key, bytes)}", "state $key", bytes, features(Pack.decode(bytes))) },
                ::noteFrame,
            )
        }
        noteFrame(Frames.encode(HELLO))
        Files.createDirectories(path.parent)
        Files.write(path, found.values.flatten())
    }

    /** The name of a kind of message in recordings. Recordings of earlier versions have the same names. */
    fun label(message: PeerMessage): String =
        when (message) {
            is PeerMessage.Hello -> "Hello"
            is PeerMessage.FollowerLeaseRequest -> "PromiseAsk"
            is PeerMessage.FollowerLeaseResponse -> "Promise"
            is PeerMessage.LeadershipRelease -> "Release"
            is PeerMessage.VoteRequest -> "VoteAsk"
            is PeerMessage.VoteResponse -> "Vote"
            is PeerMessage.ForwardedRequest -> "Forward"
            is PeerMessage.ForwardedResponse -> "Forwarded"
        }

    /** The names of the fields of a record and of the maps in it, and the values of [ENUM_FIELDS]. */
    private fun features(value: Any?): Set<String> {
        val fields = (value as? Map<*, *>).orEmpty()
        return fields.entries
            .flatMap { (name, inner) ->
                val named = if (name in ENUM_FIELDS) setOf("$name=$inner") else emptySet()
                val inMap = if (name == MACHINES_FIELD) emptySet() else features(inner)
                named + name.toString() + inMap
            }.toSet()
    }

    /** The names of the fields in [frame], and the values that tell variants of [message] apart. */
    @OptIn(ExperimentalSerializationApi::class)
    private fun features(message: PeerMessage, frame: ByteArray): Set<String> {
        val text = String(frame, Charsets.ISO_8859_1)
        val subclasses = PeerMessage.serializer().descriptor.getElementDescriptor(1)
        val fields = subclasses.elementDescriptors.flatMap { it.elementNames }.filter { it in text }
        val variants =
            when (message) {
                is PeerMessage.ForwardedRequest -> setOf("kind=${message.kind}")
                is PeerMessage.ForwardedResponse -> setOf("status=${message.status}")
                is PeerMessage.FollowerLeaseResponse ->
                    setOf(
                        "granted=${message.granted}",
                        "stateServed=${message.stateServed}",
                    )
                is PeerMessage.VoteResponse -> setOf("granted=${message.granted}")
                else -> emptySet()
            }
        return fields.toSet() + variants
    }

    /** Loads the recording [name] from the test resources. */
    fun load(name: String): List<Line> {
        val text =
            checkNotNull(
                Recording::class.java.getResource("/compat/$name.txt"),
            ) { "recording /compat/$name.txt not found in the test resources" }.readText()
        return text.lines().filter { it.isNotBlank() }.map { line ->
            val (source, key, bytes) = line.split(' ')
            Line(source, key, Base64.getDecoder().decode(bytes))
        }
    }
}
