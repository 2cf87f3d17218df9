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

/** A wrong command line and a controller that cannot be asked give one clear line and an exit code that is not 0. */
class CommandLineTest {
    private fun refusal(vararg args: String): String {
        val command = Chalkhollow()
        val error = assertThrows(CliktError::class.java) { command.parse(args.toList()) }
        assertTrue(error.statusCode != 0, "exit code ${error.statusCode}")
        assertTrue(error.printError, "not on standard error")
        return checkNotNull(explain(command, error))
    }

    @Test
    fun `a wrong command line is refused in one line`() {
        assertEquals("chalkhollow: no such option --nonsense (see --help)", refusal("--nonsense"))
        assertEquals("chalkhollow: option --config requires a value (see --help)", refusal("--config"))
        assertEquals("chalkhollow: no such subcommand extra (see --help)", refusal("extra"))
        assertEquals("chalkhollow: missing option --address (see --help)", refusal("status"))
        assertEquals(1, refusal("status", "--addres", "x").lines().size)
        assertEquals("missing option --config", refusal())
    }

    @Test
    fun `a settings file that cannot be read is refused in one line`() {
        assertEquals("/nowhere/none.json: cannot be read", refusal("--config", "/nowhere/none.json"))
    }

    @ParameterizedTest
    @ValueSource(
        strings = ["nonsense", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:x", ":80", "a b:80", ""],
    )
    fun `an address that is not host and port is refused in one line`(address: String) {
        assertEquals("$address is not host:port", refusal("status", "--address", address))
    }

    @Test
    fun `a controller that cannot be reached is reported in one line`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val line = refusal("status", "--address", "127.0.0.1:$port")
        assertTrue(line.startsWith("127.0.0.1:$port cannot be reached: "), line)
        assertEquals(1, line.lines().size)
    }
}
