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
    private val validSettings = """
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
    fun `platform settings are parsed and unknown fields are ignored`() {
        val settings = PlatformSettingsParser.parse(validSettings, "s.json")
        assertEquals(8192, settings.stateLimits.valueBytes)
        assertEquals(Address("127.0.0.1", 3), settings.peers.single().address)
    }

    @Test
    fun `an error is one line that names the field`() {
        assertTrue("facts.workers.lease_s" in errorOf(validSettings.replace("\"lease_s\":10", "\"lease_s\":-1")))
        assertTrue("facts.workers.lease_s is missing" in errorOf(validSettings.replace("\"lease_s\":10,", "")))
        assertTrue("facts.teams[0].cpus_max" in errorOf(validSettings.replace("\"cpus_max\":16", "\"cpus_max\":4")))
        assertTrue("client_listen" in errorOf(validSettings.replace("127.0.0.1:1\"", "nowhere\"")))
        assertTrue("not JSON" in errorOf("{"))
        assertTrue('\n' !in errorOf(validSettings.replace("\"rps\":80", "\"rps\":\"many\"")))
    }

    /** Valid settings in which the state service announces the limits [json] under `next`. */
    private fun withNext(json: String) = validSettings.replace("\"txn_ops\":12", "\"txn_ops\":12,\"next\":$json")

    @Test
    fun `the observed limits are the smaller of the current limits and those in next`() {
        val current = StateLimits(80.0, 20.0, 8192, 12)

        fun limits(json: String) =
            PlatformSettingsParser
                .parse(withNext(json), "s.json")
                .also {
                    assertEquals(current, it.currentStateLimits)
                }.stateLimits
        assertEquals(StateLimits(40.0, 10.0, 4096, 6), limits("""{"rps":40,"write_rps":10,"value_kb":4,"txn_ops":6}"""))
        assertEquals(
            current.copy(writeRps = 10.0),
            limits("""{"write_rps":10,"value_kb":16,"rps":81,"txn_ops":100,"colour":"blue"}"""),
        )
        assertEquals(current.copy(valueBytes = 1536), limits("""{"value_kb":1.5}"""))
        for (noLimits in listOf("{}", "null", """{"rps":null}""")) assertEquals(current, limits(noLimits))
        assertEquals(current, PlatformSettingsParser.parse(validSettings, "s.json").stateLimits)
    }

    @Test
    fun `an invalid value in next is rejected with one line that names the field`() {
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
            val line = errorOf(withNext(json))
            assertTrue("field $field " in line, line)
            assertTrue('\n' !in line)
        }
    }

    @Test
    fun `--check also rejects invalid limits in next`(
        @TempDir folder: Path,
    ) {
        val file = Files.writeString(folder.resolve("s.json"), withNext("""{"value_kb":"small"}"""))
        val error = assertThrows(CliktError::class.java) { Chalkhollow().parse(listOf("--config", "$file", "--check")) }
        assertTrue("field facts.state.next.value_kb is not a number" in error.message.orEmpty(), error.message)
        assertEquals(2, error.statusCode)
    }

    @Test
    fun `operator settings are protobuf text, and errors for unknown fields contain line and column`() {
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
    fun `the example file contains the defaults`() {
        val example =
            OperatorSettingsParser.load(
                java.nio.file.Path
                    .of("docs/operator-settings.example.txtpb"),
            )
        assertEquals(OperatorSettings(), example)
    }
}
