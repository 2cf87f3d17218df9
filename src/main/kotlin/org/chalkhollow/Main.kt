package org.chalkhollow

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
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
import java.lang.management.ManagementFactory
import java.nio.file.Path
import kotlin.system.exitProcess

/** The command line of a process that began at [begunAt], by the steady clock in nanoseconds. */
class Chalkhollow(private val begunAt: Long = System.nanoTime()) : CoreCliktCommand(name = "chalkhollow") {
    private val config by option("--config", metavar = "FILE", help = "the platform's settings, JSON")
    private val operator by option(
        "--operator-settings",
        metavar = "FILE",
        help = "operators' own settings, protobuf text format",
    )
    private val check by option("--check", help = "check the settings and exit").flag()
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
        val path = config ?: throw CliktError("missing option --config", statusCode = BAD_SETTINGS)
        val (platform, own) =
            try {
                PlatformSettingsParser.load(Path.of(path)) to
                    (operator?.let { OperatorSettingsParser.load(Path.of(it)) } ?: OperatorSettings())
            } catch (e: InvalidSettingsException) {
                throw CliktError(e.message, statusCode = BAD_SETTINGS)
            }
        if (check) return echo("$path: good")
        serve(platform, own)
    }

    private fun serve(platform: PlatformSettings, own: OperatorSettings) {
        val loop = EventLoop()
        val scope = CoroutineScope(SupervisorJob() + loop)
        val incarnation = (System.currentTimeMillis() shl 20 or (System.nanoTime() and 0xfffff)) and Long.MAX_VALUE
        scope.launch {
            val failure = startOrFail(scope, loop, platform, own, incarnation) ?: return@launch
            System.err.println("chalkhollow: $failure")
            System.err.flush()
            Runtime.getRuntime().halt(1)
        }
        loop.run() // this thread is the controller's from here on
    }

    private suspend fun startOrFail(
        scope: CoroutineScope,
        loop: EventLoop,
        platform: PlatformSettings,
        own: OperatorSettings,
        life: Long,
    ): String? =
        try {
            ControllerNode(scope, loop, platform, own, life, begunAt).start()
            null
        } catch (e: java.io.IOException) {
            e.message ?: "cannot start"
        }

    private companion object {
        const val BAD_SETTINGS = 2
    }
}

/** Sets logging up from `LOG_LEVEL` before the first logger is made. */
private fun setUpLogging() {
    val level =
        when (System.getenv("LOG_LEVEL")?.lowercase()) {
            "error" -> "error"
            "debug" -> "debug"
            else -> "info"
        }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    // Looking for the backend and for the locale's calendar took a third of the processor time of a start.
    System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider")
    System.setProperty("slf4j.internal.verbosity", "WARN")
    System.setProperty("java.locale.providers", "COMPAT")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss.SSSXXX")
}

/** What is printed of [e]: one line when the command line is wrong. */
internal fun explain(command: CoreCliktCommand, e: CliktError): String? {
    val text = command.getFormattedHelp(e) ?: return null
    if (e !is UsageError) return text
    val errors = text.lines().filter { it.startsWith(ERROR) }.joinToString("; ") { it.removePrefix(ERROR) }
    return "chalkhollow: $errors (see --help)"
}

/** How Clikt begins the lines that say what is wrong. */
private const val ERROR = "Error: "

fun main(args: Array<String>) {
    // On a slow machine the virtual machine takes a second to come here, and what an earlier life promised runs out
    // meanwhile.
    val begunAt = System.nanoTime() - ManagementFactory.getRuntimeMXBean().uptime * 1_000_000
    setUpLogging()
    val command = Chalkhollow(begunAt)
    try {
        command.parse(args)
    } catch (e: CliktError) {
        val text = explain(command, e)
        if (text != null) (if (e.printError) System.err else System.out).println(text)
        exitProcess(e.statusCode)
    }
}
