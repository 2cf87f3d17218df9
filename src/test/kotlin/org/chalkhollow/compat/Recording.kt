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
 * Some of the bytes of every kind that a version writes into the state service or says to other controllers: `state KEY
 * BASE64` and `peer KIND BASE64`, one a line.
 */
object Recording {
    class Line(val source: String, val name: String, val bytes: ByteArray)

    private const val LINES_PER_KIND = 3

    /** A field whose map has names of machines for keys. */
    private const val MACHINES = "held"
    private val ENUM_FIELDS = setOf("shape", "urgency")

    /** What a controller says first on a connection; its process makes it, which takes no part in the recorded days. */
    private val HELLO = PeerMessage.Hello("b", 12_345_678_901, PeerMessage.VERSION)

    /** What kind of record [value] under [key] is. */
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

    /** A day on which every kind is written; [onWrite] and [onFrame] get all of it. */
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
            // an election, and a leader that steps down
            simulation.nodes.firstOrNull { it.leads }?.let { n ->
                n.crash()
                simulation.clock.after(6000) { n.start() }
            }
        }
        simulation.clock.after(40_000) {
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

    /**
     * The name under which recordings list a kind of message; those that are kept from earlier versions have it, too.
     */
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

    /** The fields of a record and of the maps in it, with the values of those that name something. */
    private fun features(value: Any?): Set<String> {
        val fields = (value as? Map<*, *>).orEmpty()
        return fields.entries
            .flatMap { (name, inner) ->
                val named = if (name in ENUM_FIELDS) setOf("$name=$inner") else emptySet()
                val within = if (name == MACHINES) emptySet() else features(inner)
                named + name.toString() + within
            }.toSet()
    }

    /** The fields that stand in [frame], and which request or answer is passed on in it. */
    @OptIn(ExperimentalSerializationApi::class)
    private fun features(message: PeerMessage, frame: ByteArray): Set<String> {
        val text = String(frame, Charsets.ISO_8859_1)
        val subclasses = PeerMessage.serializer().descriptor.getElementDescriptor(1)
        val fields = subclasses.elementDescriptors.flatMap { it.elementNames }.filter { it in text }
        val passedOn =
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
        return fields.toSet() + passedOn
    }

    /** The recordings kept with the tests, by version. */
    fun load(name: String): List<Line> {
        val text =
            checkNotNull(
                Recording::class.java.getResource("/compat/$name.txt"),
            ) { "no recording $name" }.readText()
        return text.lines().filter { it.isNotBlank() }.map { line ->
            val (source, key, bytes) = line.split(' ')
            Line(source, key, Base64.getDecoder().decode(bytes))
        }
    }
}
