package org.chalkhollow

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.parse
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.net.InetAddress
import java.net.ServerSocket

/** Invalid command lines and unreachable controllers cause one error line and a non-zero exit code. */
class CommandLineTest {
    /** The error line that the command prints for [args]. */
    private fun errorLine(vararg args: String): String {
        val command = Chalkhollow()
        val error = assertThrows(CliktError::class.java) { command.parse(args.toList()) }
        assertTrue(error.statusCode != 0, "exit code ${error.statusCode}")
        assertTrue(error.printError, "the text is not printed to standard error")
        return checkNotNull(errorText(command, error))
    }

    @Test
    fun `an invalid command line is rejected with one line`() {
        assertEquals("chalkhollow: no such option --nonsense (see --help)", errorLine("--nonsense"))
        assertEquals("chalkhollow: option --config requires a value (see --help)", errorLine("--config"))
        assertEquals("chalkhollow: no such subcommand extra (see --help)", errorLine("extra"))
        assertEquals("chalkhollow: missing option --address (see --help)", errorLine("status"))
        assertEquals(1, errorLine("status", "--addres", "x").lines().size)
        assertEquals("missing option --config", errorLine())
    }

    @Test
    fun `a settings file that cannot be read is reported in one line`() {
        assertEquals("/nowhere/none.json: cannot be read", errorLine("--config", "/nowhere/none.json"))
    }

    @ParameterizedTest
    @ValueSource(
        strings = ["nonsense", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:x", ":80", "a b:80", ""],
    )
    fun `an address that is not host and port is rejected with one line`(address: String) {
        assertEquals("$address is not host:port", errorLine("status", "--address", address))
    }

    @Test
    fun `a controller that cannot be reached is reported in one line`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val line = errorLine("status", "--address", "127.0.0.1:$port")
        assertTrue(line.startsWith("127.0.0.1:$port cannot be reached: "), line)
        assertEquals(1, line.lines().size)
    }
}
