/*
 * Log4j 2 configured without a file: a file's elements are found and built by reflection over all of Log4j's plugins, which is a large
 * part of the processor time that a small instance needs for its start.
 */
package yuccaferry.telemetry

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.LifeCycle
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.AppenderRef
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.LoggerConfig
import org.apache.logging.log4j.core.layout.AbstractStringLayout
import java.time.Instant
import java.time.LocalDateTime
import java.time.ZoneId

/** System property with which Log4j is given a configuration file. */
private const val FILE_PROPERTY = "log4j2.configurationFile"

/**
 * Sends log lines of INFO and above to standard output, unless a configuration file is set; to be called before the first line. The lines
 * pass a bounded queue: when it is full, a line is dropped instead of blocking the caller.
 */
fun logToStandardOutput() {
    if (System.getProperty(FILE_PROPERTY) == null) Configurator.initialize(StandardOutputConfiguration())
}

internal class StandardOutputConfiguration : AbstractConfiguration(null, ConfigurationSource.NULL_SOURCE) {
    init {
        name = "standard-output"
        isShutdownHookEnabled = false
    }

    /** Adds the appenders; unlike Log4j's own, it doesn't load the plugins. */
    override fun initialize() {
        doConfigure()
        state = LifeCycle.State.INITIALIZED
    }

    override fun doConfigure() {
        val console =
            ConsoleAppender
                .newBuilder()
                .setName(CONSOLE)
                .setConfiguration(this)
                .setLayout(LineLayout(ZoneId.systemDefault()))
                .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                .setDirect(true)
                .build()
        addAppender(console)
        val queue =
            AsyncAppender
                .newBuilder()
                .setName(QUEUE)
                .setConfiguration(this)
                .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef(CONSOLE, null, null)))
                .setBufferSize(QUEUE_LINES)
                .setBlocking(false)
                .setIncludeLocation(false)
                .build()
        addAppender(queue)
        rootLogger.level = Level.INFO
        rootLogger.addAppender(queue, null, null)
        addLogger(NETTY, LoggerConfig(NETTY, Level.WARN, true))
    }

    private companion object {
        const val CONSOLE = "stdout"
        const val QUEUE = "bounded"
        const val NETTY = "io.netty"

        /** Lines that wait to be written: twice the largest burst that [LogRateLimiter] admits. */
        const val QUEUE_LINES = 2_048
    }
}

/** Writes `time=... level=... MESSAGE`, with the stack trace in further lines if there is one. */
internal class LineLayout(
    private val zone: ZoneId,
) : AbstractStringLayout(Charsets.UTF_8) {
    override fun toSerializable(event: LogEvent): String =
        buildString {
            append("time=").appendTime(event.instant.epochMillisecond)
            append(" level=").append(event.level.name())
            append(' ').append(event.message.formattedMessage).append('\n')
            event.thrown?.let { append(it.stackTraceToString()) }
        }

    /** Appends the local time as in `2026-01-31T09:05:07,042`. */
    private fun StringBuilder.appendTime(epochMillis: Long) {
        val time = LocalDateTime.ofInstant(Instant.ofEpochMilli(epochMillis), zone)
        append(time.year)
            .append('-')
            .appendDigits(time.monthValue, 2)
            .append('-')
            .appendDigits(time.dayOfMonth, 2)
        append('T')
            .appendDigits(time.hour, 2)
            .append(':')
            .appendDigits(time.minute, 2)
            .append(':')
            .appendDigits(time.second, 2)
        append(',').appendDigits(time.nano / NANOS_PER_MILLI, 3)
    }

    private fun StringBuilder.appendDigits(
        value: Int,
        digits: Int,
    ): StringBuilder = append(value.toString().padStart(digits, '0'))

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000
    }
}
