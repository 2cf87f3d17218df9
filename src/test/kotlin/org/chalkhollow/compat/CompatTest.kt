package org.chalkhollow.compat

import org.chalkhollow.core.attempts.DispatchMarkerRecord
import org.chalkhollow.core.attempts.IndexRanges
import org.chalkhollow.core.cluster.Interners
import org.chalkhollow.core.common.CoreContext
import org.chalkhollow.core.fleet.StaticMachines
import org.chalkhollow.core.jobs.JobRecord
import org.chalkhollow.core.jobs.JobTable
import org.chalkhollow.core.jobs.ProgressPageRecord
import org.chalkhollow.core.leadership.LeadershipRecord
import org.chalkhollow.model.JobState
import org.chalkhollow.model.KeyValue
import org.chalkhollow.peer.Frames
import org.chalkhollow.peer.PeerMessage
import org.chalkhollow.settings.StateLimits
import org.chalkhollow.wire.Fields
import org.chalkhollow.wire.Pack
import org.chalkhollow.wire.UserCodec
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.nio.file.Path
import java.util.Base64
import java.util.BitSet

/** This version and those before it: each reads what the others write and say. */
class CompatTest {
    /** The versions whose stored values and messages are recorded; [number] is what they tell in their greeting. */
    enum class Version(val number: Int) {
        /** The version in production. */
        PRODUCTION(0),
        FIRST(1),
        ;

        val recorded: List<Recording.Line> by lazy { Recording.kept("version-$number") }

        val frames: List<Recording.Line> get() = recorded.filter { it.of == "peer" }

        fun records(prefix: String): List<Recording.Line> =
            recorded
                .filter {
                    it.of == "state" && it.name.startsWith(prefix)
                }.also { assertTrue(it.isNotEmpty(), "no $prefix") }
    }

    private val limits = StateLimits(80.0, 20.0, 4096, 8)

    private fun row(line: Recording.Line) = KeyValue(line.name, Pack.decode(line.bytes), 1)

    private fun fields(line: Recording.Line) = Pack.decodeMap(line.bytes)

    @ParameterizedTest
    @EnumSource
    fun `a version's recording has every kind of record and message`(version: Version) {
        assertEquals(
            setOf(
                "job open batch",
                "job open group",
                "job open service",
                "job done ",
                "job cancelled batch",
                "prog",
                "mark",
                "ch",
                "fleet/base",
                "fleet/images",
            ),
            version.recorded
                .filter { it.of == "state" }
                .map { Recording.kind(it.name, it.bytes) }
                .toSet(),
        )
        assertEquals(
            setOf("Hello", "PromiseAsk", "Promise", "Release", "VoteAsk", "Vote", "Forward", "Forwarded"),
            version.frames.map { it.name }.toSet(),
        )
        val messages = version.frames.map { Frames.decode(it.bytes) }
        assertEquals(setOf(1, 2, 3), messages.filterIsInstance<PeerMessage.ForwardedRequest>().map { it.kind }.toSet())
        val promises = messages.filterIsInstance<PeerMessage.FollowerLeaseResponse>()
        assertTrue(promises.any { it.heartbeats > 0 }, "no promise counts reports")
        assertTrue(promises.any { it.prepared }, "no promise of a prepared peer")
        val described = version.records(JobRecord.KEY_PREFIX).mapNotNull { fields(it).map["j"] as? Map<*, *> }
        val optional = setOf("bundle", "pullGb", "flavours", "site", "dueS")
        assertEquals(emptySet<String>(), optional - described.flatMap { it.keys }.toSet(), "no job has these")
        assertEquals(
            setOf("production", "high", "standard", "best_effort"),
            described.map { it["urgency"] }.toSet(),
        )
    }

    @ParameterizedTest
    @EnumSource
    fun `a version's jobs are read as they were written`(version: Version) {
        val names = Interners().apply { listOf("red", "blue").forEach(teams::intern) }
        val jobs = JobTable(CoreContext(1), names, limits)
        for (line in version.records(JobRecord.KEY_PREFIX)) {
            jobs.loadJob(row(line))
            val f = fields(line)
            val entry = checkNotNull(jobs.find(line.name.removePrefix(JobRecord.KEY_PREFIX)))
            val expected =
                mapOf(
                    "open" to JobState.OPEN,
                    "done" to JobState.DONE,
                    "cancelled" to JobState.CANCELLED,
                ).getValue(f.text("s"))
            assertEquals(expected, entry.state, line.name)
            if (expected != JobState.OPEN) assertEquals(f.long("n").toInt(), entry.tasks)
            val described = f.map["j"] ?: continue
            val spec = checkNotNull(jobs.findForMarker(line.name.removePrefix(JobRecord.KEY_PREFIX))).spec
            assertArrayEquals(Pack.encode(described), Pack.encode(UserCodec.toMap(spec)), line.name)
            if (expected == JobState.OPEN) assertEquals(f.long("at"), entry.open?.acceptedWallMs)
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `a version's pages count for the tasks that they name, also where ours are smaller`(version: Version) {
        for (line in version.records(ProgressPageRecord.KEY_PREFIX)) {
            val (id, from) = line.name.removePrefix(ProgressPageRecord.KEY_PREFIX).split('/')
            val bits = BitSet.valueOf(Base64.getDecoder().decode(fields(line).text("b")))
            val job =
                Pack.decodeMap(
                    version
                        .records(
                            JobRecord.KEY_PREFIX,
                        ).first { Recording.kind(it.name, it.bytes) == "job open batch" }
                        .bytes,
                )
            val spec = Fields.of(job.map["j"], "j").map + mapOf("nameId" to id, "pieces" to 100_000)
            val jobs = JobTable(CoreContext(1), Interners(), limits.copy(valueBytes = 1024))
            jobs.loadJob(
                KeyValue(
                    JobRecord.KEY_PREFIX + id,
                    Pack.decode(Pack.encode(mapOf("s" to "open", "at" to 5L, "j" to spec))),
                    1,
                ),
            )
            jobs.loadPage(row(line))
            val done = checkNotNull(jobs.find(id)?.open).progress.snapshot()
            assertEquals(
                bits
                    .stream()
                    .map { it + from.toInt() }
                    .toArray()
                    .toList(),
                done.stream().toArray().toList(),
            )
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `a version's leadership record, markers and machines are read as they were written`(version: Version) {
        for (line in version.records(LeadershipRecord.KEY)) {
            val f = fields(line)
            val lead = LeadershipRecord.of(row(line))
            assertEquals(
                LeadershipRecord(f.text("owner"), f.long("life"), f.long("generation"), f.long("writes")),
                lead,
            )
            assertArrayEquals(line.bytes, Pack.encode(lead.value()))
        }
        for (line in version.records(DispatchMarkerRecord.PREFIX)) {
            val stored = row(line)
            val rows = DispatchMarkerRecord.rows(stored).toList()
            for (each in rows) {
                assertEquals(each.ranges, IndexRanges.encode(IndexRanges.decode(each.ranges).toIntArray()))
            }
            val written = DispatchMarkerRecord.encode(DispatchMarkerRecord.number(stored), rows)
            assertArrayEquals(line.bytes, Pack.encode(written))
        }
        for (line in version.records(StaticMachines.KEY)) {
            val staticMachines = StaticMachines(CoreContext(1), limits).also { it.load(row(line)) }
            assertEquals(fields(line).texts("names").toSet(), staticMachines.names)
            assertTrue(staticMachines.isKnown)
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `a version's messages are read and would be said in the same bytes`(version: Version) {
        for (line in version.frames) {
            val message = checkNotNull(Frames.decode(line.bytes)) { line.name }
            assertEquals(line.name, Recording.label(message))
            assertArrayEquals(line.bytes, Frames.encode(message), line.name)
            if (message is PeerMessage.Hello) assertEquals(version.number, message.version)
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `a version's own recording is within what production reads`(version: Version) {
        for (line in version.recorded) {
            assertNull(
                if (line.of ==
                    "peer"
                ) {
                    ProductionForm.frame(line.bytes)
                } else {
                    ProductionForm.record(line.name, line.bytes)
                },
            )
        }
    }

    @Test
    fun `all that this version writes and says on a day is within what production reads`() {
        val foreign = sortedSetOf<String>()
        var writes = 0
        var frames = 0
        for (seed in 31L..33L) {
            Recording.day(
                seed,
                { key, bytes ->
                    writes++
                    ProductionForm.record(key, bytes)?.let(foreign::add)
                },
                { frame ->
                    frames++
                    ProductionForm.frame(frame)?.let(foreign::add)
                },
            )
        }
        assertEquals(emptySet<String>(), foreign)
        assertTrue(writes > 1000 && frames > 1000, "$writes writes, $frames frames")
        assertNull(ProductionForm.frame(Frames.encode(PeerMessage.Hello("b", 1, PeerMessage.VERSION))))
    }

    @Test
    fun `a form that production does not read is found`() {
        fun foreign(key: String, value: Map<String, Any?>) =
            assertNotNull(ProductionForm.record(key, Pack.encode(value)), "$key $value")
        val lead = mapOf("owner" to "a", "life" to 1L, "generation" to 1L, "writes" to 0L)
        assertNull(ProductionForm.record("ch/lead", Pack.encode(lead)))
        foreign("ch/lead", lead - "writes")
        foreign("ch/lead", lead + ("version" to 1L))
        foreign("ch/lead", lead + ("life" to "x"))
        foreign("ch/other", lead)
        foreign("job/j-1", mapOf("s" to "paused", "n" to 3L))
        foreign("job/j-1", mapOf("s" to "done", "n" to "3"))
        foreign("prog/j-1", mapOf("b" to "AA=="))
        foreign("prog/j-1/0", mapOf("r" to "0-3"))
        foreign("mark/000000000001/1", mapOf("n" to 65537L, "a" to listOf(listOf("j-1", "n-1", "0-3", 2L))))
        foreign("fleet/spares", mapOf("names" to listOf("n-1")))
        foreign("fleet/images/0", mapOf("images" to listOf("i"), "held" to mapOf("n-1" to "i")))
        val open = Version.PRODUCTION.records(JobRecord.KEY_PREFIX).first { fields(it).text("s") == "open" }
        val spec = Fields.of(fields(open).map["j"], "j").map
        for (change in listOf(
            "shape" to "stream",
            "urgency" to "someday",
            "pieces" to 0L,
            "colour" to "blue",
            "flavours" to "g8",
        )) {
            foreign(open.name, fields(open).map + ("j" to spec + change))
        }
        assertNotNull(ProductionForm.frame(Frames.encode(PeerMessage.ForwardedRequest(1, 4, "j-1", ByteArray(0)))))
        assertNotNull(ProductionForm.frame(NewMessages.gossip()))
        assertNotNull(ProductionForm.frame(NewMessages.releaseWithReason()))
    }

    @Test
    fun `what this version writes and says is recorded for the next one`() {
        val path = Path.of("target/compat/recorded.txt")
        Recording.record(21L..23L, path)
        assertTrue(path.toFile().readLines().size > 30)
    }
}
