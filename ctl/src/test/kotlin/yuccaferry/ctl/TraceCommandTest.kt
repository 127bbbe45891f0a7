package yuccaferry.ctl

import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class TraceCommandTest {
    private val first =
        createTempFile("a", ".log").also {
            it.writeText(
                "time=2026-01-24T02:28:05,230 level=INFO event=attempt_sent daemon=a request=4f target=i-1\n" +
                    "time=2026-01-24T02:28:05,330 level=INFO event=attempt_ended daemon=a request=4f end=TimedOut\n" +
                    "time=2026-01-24T02:28:05,240 level=INFO event=attempt_sent daemon=a request=4f77 target=i-1\n",
            )
        }
    private val second =
        createTempFile("b", ".log").also { it.writeText("time=2026-01-24T02:28:05,300 level=WARN event=defect daemon=b request=\"4f\"\n") }
    private val out = ByteArrayOutputStream()
    private val err = ByteArrayOutputStream()

    private fun trace(vararg args: String) = runCtl(arrayOf("trace", *args), emptyMap(), PrintStream(out, true), PrintStream(err, true))

    @AfterTest
    fun delete() = listOf(first, second).forEach { it.deleteIfExists() }

    @Test
    fun `gathers one request's lines of all files in order of time`() {
        assertEquals(ExitCode.OK, trace("4f", "$first", "$second"))
        val events =
            out
                .toString()
                .lines()
                .filter { it.isNotEmpty() }
                .map { it.substringAfter("event=").substringBefore(' ') }
        assertEquals(listOf("attempt_sent", "defect", "attempt_ended"), events)
    }

    @Test
    fun `fails when no line names the request`() {
        assertEquals(ExitCode.FAILED, trace("5e", "$first"))
        assertContains(out.toString(), "no line names 5e")
    }

    @Test
    fun `names a file that can't be read`() {
        assertEquals(ExitCode.USAGE, trace("4f", "$first.missing"))
        assertContains(err.toString(), "$first.missing: can't be read")
    }
}
