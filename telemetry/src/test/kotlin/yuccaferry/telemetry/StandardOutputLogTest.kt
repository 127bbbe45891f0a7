package yuccaferry.telemetry

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.impl.Log4jLogEvent
import org.apache.logging.log4j.core.time.MutableInstant
import org.apache.logging.log4j.message.SimpleMessage
import org.junit.jupiter.api.Nested
import java.time.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class StandardOutputLogTest {
    @Nested
    inner class `a line` {
        private val layout = LineLayout(ZoneId.of("UTC"))

        private fun event(thrown: Throwable? = null): Log4jLogEvent {
            val instant = MutableInstant().apply { initFromEpochMilli(1_769_850_307_042, 0) }
            return Log4jLogEvent
                .newBuilder()
                .setInstant(instant)
                .setLevel(Level.WARN)
                .setMessage(SimpleMessage("event=x"))
                .setThrown(thrown)
                .build()
        }

        @Test
        fun `has the local time with leading zeros, the level and the message`() {
            assertEquals("time=2026-01-31T09:05:07,042 level=WARN event=x\n", layout.toSerializable(event()))
        }

        @Test
        fun `is followed by the stack trace of what was thrown`() {
            val text = layout.toSerializable(event(IllegalStateException("no reading")))

            assertTrue(
                text.startsWith("time=2026-01-31T09:05:07,042 level=WARN event=x\njava.lang.IllegalStateException: no reading\n\tat "),
                text,
            )
        }
    }

    @Nested
    inner class `the configuration` {
        private val configuration = StandardOutputConfiguration().apply { start() }

        @Test
        fun `passes lines of INFO and above, and of Netty's only warnings`() {
            assertEquals(Level.INFO, configuration.getLoggerConfig("yuccaferry").level)
            assertEquals(Level.WARN, configuration.getLoggerConfig("io.netty.channel").level)
        }

        @Test
        fun `drops lines instead of blocking when its queue is full`() {
            val queue =
                assertIs<AsyncAppender>(
                    configuration.rootLogger.appenders.values
                        .single(),
                )

            assertTrue(!queue.isBlocking)
            assertEquals(2_048, queue.queueCapacity)
            assertEquals(listOf("stdout"), queue.appenderRefStrings.toList())
        }
    }
}
