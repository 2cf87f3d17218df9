package org.chalkhollow

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import java.lang.management.ManagementFactory
import kotlin.system.exitProcess

/** How Clikt begins the lines that say what is wrong. */
private const val ERROR_PREFIX = "Error: "
private const val NANOS_PER_MS = 1_000_000

fun main(args: Array<String>) {
    // On a slow machine the virtual machine takes a second to come here, and leases that an earlier incarnation granted
    // expire meanwhile.
    val processStartedAtNs = System.nanoTime() - ManagementFactory.getRuntimeMXBean().uptime * NANOS_PER_MS
    setUpLogging()
    val command = Chalkhollow(processStartedAtNs)
    try {
        command.parse(args)
    } catch (e: CliktError) {
        val text = explain(command, e)
        if (text != null) (if (e.printError) System.err else System.out).println(text)
        exitProcess(e.statusCode)
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

/** The text to print for [error]: one line when the command line is wrong, null when there is nothing to say. */
internal fun explain(command: CoreCliktCommand, error: CliktError): String? {
    val text = command.getFormattedHelp(error) ?: return null
    if (error !is UsageError) return text
    val errors = text.lines().filter { it.startsWith(ERROR_PREFIX) }.map { it.removePrefix(ERROR_PREFIX) }
    return "chalkhollow: ${errors.joinToString("; ")} (see --help)"
}
