package yuccaferry.telemetry

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.Logger
import org.apache.logging.log4j.core.appender.AbstractAppender
import org.apache.logging.log4j.core.config.Property
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.Severity
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DaemonTelemetryTest {
    private val lines = CopyOnWriteArrayList<String>()
    private val logger = LogManager.getLogger("yuccaferry") as Logger
    private val appender =
        object : AbstractAppender("test", null, null, true, Property.EMPTY_ARRAY) {
            override fun append(event: LogEvent) {
                lines += event.message.formattedMessage
            }
        }
    private val telemetry = DaemonTelemetry("d")

    @BeforeTest
    fun attach() {
        appender.start()
        logger.addAppender(appender)
    }

    @AfterTest
    fun detach() {
        logger.removeAppender(appender)
        telemetry.close()
    }

    private fun linesOf(event: String) = lines.count { it.startsWith("event=$event ") }

    @Nested
    inner class `after lines of requests have used up their rate` {
        /** Guards against an incident whose only error lines are dropped because many requests are logged at that moment. */
        @Test
        fun `warnings and errors are still written`() {
            repeat(REQUEST_LINES) { telemetry.event("request_ended") }
            repeat(WARNINGS) { telemetry.event("loop_late", severity = Severity.WARN) }
            repeat(WARNINGS) { telemetry.event("uncaught_failure", severity = Severity.ERROR) }
            assertEquals(listOf(WARNINGS, WARNINGS), listOf(linesOf("loop_late"), linesOf("uncaught_failure")))
        }
    }

    @Test
    fun `warnings are limited too`() {
        repeat(REQUEST_LINES) { telemetry.event("loop_late", severity = Severity.WARN) }
        assertTrue(linesOf("loop_late") < REQUEST_LINES)
    }

    private companion object {
        /** More lines than are admitted in the time that they take. */
        const val REQUEST_LINES = 20_000
        const val WARNINGS = 100
    }
}
