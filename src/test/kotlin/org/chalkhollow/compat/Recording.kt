package org.chalkhollow.compat

import org.chalkhollow.model.Shape
import org.chalkhollow.peer.Frames
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.simulation.FaultInjection
import org.chalkhollow.simulation.Simulation
import org.chalkhollow.wire.Pack
import java.nio.file.Files
import java.nio.file.Path
import java.util.Base64

/**
 * Some of the bytes of every kind that a version writes into the state service or says to other controllers: `state KEY
 * BASE64` and `peer KIND BASE64`, one a line.
 */
object Recording {
    class Line(val of: String, val name: String, val bytes: ByteArray)

    private const val EACH = 3

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
    fun day(seed: Long, onWrite: (String, ByteArray) -> Unit, onFrame: (ByteArray) -> Unit): Simulation {
        val r = Simulation(seed)
        r.state.onWrite = { key, bytes -> if (bytes != null) onWrite(key, bytes) }
        r.onFrame = onFrame
        r.begin(25, 60_000)
        for (shape in listOf(Shape.GANG, Shape.SERVICE)) {
            r.clock.after(8000) {
                r.users.submit {
                    it.copy(
                        shape = shape,
                        tasks = 3,
                        types = null,
                        zone = null,
                        together = false,
                        spread = false,
                    )
                }
            }
        }
        r.clock.after(9000) {
            r.users.submit {
                it.copy(
                    tasks = 2000,
                    expectedS = 0.5,
                    types = null,
                    zone = null,
                    together = false,
                    spread = false,
                )
            }
        }
        FaultInjection(r).draw(4, 50_000, 70_000)
        r.clock.after(25_000) {
            // an election, and a leader that makes way
            r.nodes.firstOrNull { it.leads }?.let { n ->
                n.crash()
                r.clock.after(6000) { n.start() }
            }
        }
        r.clock.after(40_000) { r.nodes.firstOrNull { it.leads }?.let { r.state.refuse(it.label, 8000) } }
        r.clock.runUntil(120_000)
        return r
    }

    /** Records a day into [path]. */
    fun record(seed: Long, path: Path) {
        val found = sortedMapOf<String, ArrayList<String>>()

        fun note(kind: String, line: () -> String) {
            val list = found.getOrPut(kind) { ArrayList() }
            if (list.size < EACH) list.add(line())
        }
        day(
            seed,
            {
                key,
                bytes,
                ->
                note("state ${kind(key, bytes)}") { "state $key ${Base64.getEncoder().encodeToString(bytes)}" }
            },
            { frame -> frameLine(frame).let { (kind, line) -> note(kind) { line } } },
        )
        frameLine(Frames.encode(PeerMessage.Hello("b", 12_345_678_901))).let { (kind, line) -> note(kind) { line } }
        Files.createDirectories(path.parent)
        Files.write(path, found.values.flatten())
    }

    private fun frameLine(frame: ByteArray): Pair<String, String> {
        val kind = checkNotNull(Frames.decode(frame)).javaClass.simpleName
        return "peer $kind" to "peer $kind ${Base64.getEncoder().encodeToString(frame)}"
    }

    /** The recordings kept with the tests, by version. */
    fun kept(name: String): List<Line> {
        val text =
            checkNotNull(
                Recording::class.java.getResource("/compat/$name.txt"),
            ) { "no recording $name" }.readText()
        return text.lines().filter { it.isNotBlank() }.map { line ->
            val (of, key, bytes) = line.split(' ')
            Line(of, key, Base64.getDecoder().decode(bytes))
        }
    }
}
