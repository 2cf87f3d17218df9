package org.chalkhollow

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import java.lang.management.ManagementFactory
import kotlin.system.exitProcess

/** Begins the error lines in Clikt's messages. */
private const val ERROR_PREFIX = "Error: "
private const val NANOS_PER_MS = 1_000_000

fun main(args: Array<String>) {
    // The time at which the JVM started. On a slow machine it takes a second to get here, and leases that an earlier
    // incarnation granted expire meanwhile.
    val processStartedAtNs = System.nanoTime() - ManagementFactory.getRuntimeMXBean().uptime * NANOS_PER_MS
    setUpLogging()
    val command = Chalkhollow(processStartedAtNs)
    try {
        command.parse(args)
    } catch (e: CliktError) {
        val text = errorText(command, e)
        if (text != null) (if (e.printError) System.err else System.out).println(text)
        exitProcess(e.statusCode)
    }
}

/** Configures logging from `LOG_LEVEL`. Must be called before the first logger is created. */
private fun setUpLogging() {
    val level =
        when (System.getenv("LOG_LEVEL")?.lowercase()) {
            "error" -> "error"
            "debug" -> "debug"
            else -> "info"
        }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    // Without the next three, finding the backend and the locale's calendar took a third of a start's processor time.
    System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider")
    System.setProperty("slf4j.internal.verbosity", "WARN")
    System.setProperty("java.locale.providers", "COMPAT")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "yyyy-MM-dd'T'HH:mm:ss.SSSXXX")
}

/** The text to print for [error], or null for none; one line if the command line is invalid. */
internal fun errorText(command: CoreCliktCommand, error: CliktError): String? {
    val text = command.getFormattedHelp(error) ?: return null
    if (error !is UsageError) return text
    val errors = text.lines().filter { it.startsWith(ERROR_PREFIX) }.map { it.removePrefix(ERROR_PREFIX) }
    return "chalkhollow: ${errors.joinToString("; ")} (see --help)"
}
