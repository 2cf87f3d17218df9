package org.chalkhollow

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.versionOption
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import org.chalkhollow.runtime.ArchiveTrainingRun
import org.chalkhollow.runtime.ControllerNode
import org.chalkhollow.runtime.EventLoop
import org.chalkhollow.settings.InvalidSettingsException
import org.chalkhollow.settings.OperatorSettings
import org.chalkhollow.settings.OperatorSettingsParser
import org.chalkhollow.settings.PlatformSettings
import org.chalkhollow.settings.PlatformSettingsParser
import java.io.IOException
import java.nio.file.Path

/**
 * The command line. [processStartedAtNs] is the monotonic time in nanoseconds at which this process started; see
 * [ControllerNode].
 */
class Chalkhollow(private val processStartedAtNs: Long = System.nanoTime()) : CoreCliktCommand(name = "chalkhollow") {
    private val configFile by option("--config", metavar = "FILE", help = "the platform's settings, JSON")
    private val operatorSettingsFile by option(
        "--operator-settings",
        metavar = "FILE",
        help = "operators' own settings, protobuf text format",
    )
    private val checkOnly by option("--check", help = "check the settings and exit").flag()
    private val warmUp by option(
        "--warm-up",
        help = "load what a start needs and exit; used by the build",
        hidden = true,
    ).flag()

    init {
        subcommands(StatusCommand())
        versionOption(Chalkhollow::class.java.`package`?.implementationVersion ?: "development")
    }

    override val invokeWithoutSubcommand = true

    override fun help(context: Context) = "Schedules jobs on rented machines, as one of several controllers."

    override fun run() {
        if (currentContext.invokedSubcommand != null) return
        if (warmUp) return ArchiveTrainingRun.run()
        val path = configFile ?: throw CliktError("missing option --config", statusCode = EXIT_INVALID_SETTINGS)
        val platformSettings: PlatformSettings
        val operatorSettings: OperatorSettings
        try {
            platformSettings = PlatformSettingsParser.load(Path.of(path))
            operatorSettings =
                operatorSettingsFile?.let { OperatorSettingsParser.load(Path.of(it)) } ?: OperatorSettings()
        } catch (e: InvalidSettingsException) {
            throw CliktError(e.message, e, statusCode = EXIT_INVALID_SETTINGS)
        }
        if (checkOnly) return echo("$path: good")
        serve(platformSettings, operatorSettings)
    }

    /** Runs a controller for as long as the process lives; the calling thread becomes its event loop. */
    private fun serve(platformSettings: PlatformSettings, operatorSettings: OperatorSettings) {
        val loop = EventLoop()
        val scope = CoroutineScope(SupervisorJob() + loop)
        scope.launch {
            try {
                ControllerNode(
                    scope,
                    loop,
                    platformSettings,
                    operatorSettings,
                    newIncarnation(),
                    processStartedAtNs,
                ).start()
            } catch (e: IOException) {
                System.err.println("chalkhollow: ${e.message ?: "cannot start"}")
                System.err.flush()
                Runtime.getRuntime().halt(EXIT_START_FAILED)
            }
        }
        loop.run()
    }

    /**
     * A number above those of earlier processes: the wall-clock time in milliseconds, followed by low bits of the
     * monotonic time, which differ between starts within one millisecond.
     */
    private fun newIncarnation(): Long {
        val nanos = System.nanoTime() and ((1L shl NANO_BITS) - 1)
        return (System.currentTimeMillis() shl NANO_BITS or nanos) and Long.MAX_VALUE
    }

    private companion object {
        // Exit codes.
        const val EXIT_START_FAILED = 1
        const val EXIT_INVALID_SETTINGS = 2

        const val NANO_BITS = 20
    }
}
