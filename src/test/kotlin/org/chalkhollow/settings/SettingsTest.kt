package org.chalkhollow.settings

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.parse
import org.chalkhollow.Chalkhollow
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path

class SettingsTest {
    private val good = """
        {"label":"a","location":"z","client_listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2","new_field":[1],
         "seeds":[{"label":"b","location":"z","endpoint":"127.0.0.1:3"}],"external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
         "facts":{"teams":[{"name":"t","cpus":8,"cpus_max":16}],"workers":{"report_s":2,"lease_s":10,"cancel_s":40},
          "state":{"rps":80,"write_rps":20,"value_kb":8,"txn_ops":12},"cloud":{"rps":3,"list_lag_s":5}}}
    """

    private fun errorOf(text: String): String =
        assertThrows(
            InvalidSettingsException::class.java,
        ) { PlatformSettingsParser.parse(text, "s.json") }.message.orEmpty()

    @Test
    fun `the platform's settings are read and unknown fields ignored`() {
        val s = PlatformSettingsParser.parse(good, "s.json")
        assertEquals(8192, s.stateLimits.valueBytes)
        assertEquals(Address("127.0.0.1", 3), s.peers.single().address)
    }

    @Test
    fun `an error is one line that names the field`() {
        assertTrue("facts.workers.lease_s" in errorOf(good.replace("\"lease_s\":10", "\"lease_s\":-1")))
        assertTrue("facts.workers.lease_s is missing" in errorOf(good.replace("\"lease_s\":10,", "")))
        assertTrue("facts.teams[0].cpus_max" in errorOf(good.replace("\"cpus_max\":16", "\"cpus_max\":4")))
        assertTrue("client_listen" in errorOf(good.replace("127.0.0.1:1\"", "nowhere\"")))
        assertTrue("not JSON" in errorOf("{"))
        assertTrue('\n' !in errorOf(good.replace("\"rps\":80", "\"rps\":\"many\"")))
    }

    private fun next(json: String) = good.replace("\"txn_ops\":12", "\"txn_ops\":12,\"next\":$json")

    @Test
    fun `the limits kept within are the smaller of those of now and of next`() {
        val now = StateLimits(80.0, 20.0, 8192, 12)

        fun limits(json: String) =
            PlatformSettingsParser
                .parse(next(json), "s.json")
                .also {
                    assertEquals(now, it.currentStateLimits)
                }.stateLimits
        assertEquals(StateLimits(40.0, 10.0, 4096, 6), limits("""{"rps":40,"write_rps":10,"value_kb":4,"txn_ops":6}"""))
        assertEquals(
            now.copy(writeRps = 10.0),
            limits("""{"write_rps":10,"value_kb":16,"rps":81,"txn_ops":100,"colour":"blue"}"""),
        )
        assertEquals(now.copy(valueBytes = 1536), limits("""{"value_kb":1.5}"""))
        for (none in listOf("{}", "null", """{"rps":null}""")) assertEquals(now, limits(none))
        assertEquals(now, PlatformSettingsParser.parse(good, "s.json").stateLimits)
    }

    @Test
    fun `nonsense in next is refused in one line that names the field`() {
        for ((json, field) in listOf(
            "7" to "facts.state.next",
            "[]" to "facts.state.next",
            "\"soon\"" to "facts.state.next",
            """{"rps":"x"}""" to "facts.state.next.rps",
            """{"write_rps":0}""" to "facts.state.next.write_rps",
            """{"value_kb":-4}""" to "facts.state.next.value_kb",
            """{"txn_ops":{}}""" to "facts.state.next.txn_ops",
            """{"txn_ops":2}""" to "facts.state.next.txn_ops",
        )) {
            val line = errorOf(next(json))
            assertTrue("field $field " in line, line)
            assertTrue('\n' !in line)
        }
    }

    @Test
    fun `the limits of next are checked by --check also`(
        @TempDir folder: Path,
    ) {
        val file = Files.writeString(folder.resolve("s.json"), next("""{"value_kb":"small"}"""))
        val error = assertThrows(CliktError::class.java) { Chalkhollow().parse(listOf("--config", "$file", "--check")) }
        assertTrue("field facts.state.next.value_kb is not a number" in error.message.orEmpty(), error.message)
        assertEquals(2, error.statusCode)
    }

    @Test
    fun `operators' settings are protobuf text, and an unknown field is an error with its place`() {
        assertEquals(OperatorSettings(), OperatorSettingsParser.parse("# nothing\n", "o"))
        assertEquals(30.0, OperatorSettingsParser.parse("idle_return_s: 30\nsample_size: 4", "o").maxIdleS)
        val unknown =
            assertThrows(
                InvalidSettingsException::class.java,
            ) { OperatorSettingsParser.parse("sample_size: 4\n  colour: 3", "o") }
        assertTrue('\n' !in unknown.message.orEmpty())
        assertTrue("line 2, column 3" in unknown.message.orEmpty(), unknown.message)
        assertThrows(InvalidSettingsException::class.java) { OperatorSettingsParser.parse("sample_size: 0", "o") }
        assertThrows(
            InvalidSettingsException::class.java,
        ) { OperatorSettingsParser.parse("leader_renew_ms: 1900", "o") }
    }

    @Test
    fun `the example file states the defaults`() {
        val example =
            OperatorSettingsParser.load(
                java.nio.file.Path
                    .of("docs/operator-settings.example.txtpb"),
            )
        assertEquals(OperatorSettings(), example)
    }
}
