package yuccaferry.telemetry

import yuccaferry.daemon.port.Field
import kotlin.test.Test
import kotlin.test.assertEquals

class LogLineTest {
    @Test
    fun `plain values are not quoted`() {
        assertEquals("event=started port=8080", logLine("started", listOf(Field("port", 8080))))
    }

    @Test
    fun `values that could forge a line or a field are quoted and escaped`() {
        assertEquals("""event=failed error="a\nb=\"c\""""", logLine("failed", listOf(Field("error", "a\nb=\"c\""))))
    }

    @Test
    fun `null values are omitted`() {
        assertEquals("event=x b=1", logLine("x", listOf(Field("a", null), Field("b", 1))))
    }
}
