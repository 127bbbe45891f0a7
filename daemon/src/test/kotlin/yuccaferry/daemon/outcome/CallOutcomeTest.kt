// Checks the execution reported for every combination of a call's progress and error.
package yuccaferry.daemon.outcome

import yuccaferry.daemon.port.TargetError
import yuccaferry.model.Execution
import yuccaferry.model.Execution.NOT_RUN
import yuccaferry.model.Execution.RAN
import yuccaferry.model.Execution.UNKNOWN
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode
import kotlin.test.Test
import kotlin.test.assertEquals

class CallOutcomeTest {
    private val notSent = TargetError.NotSent("connection refused")
    private val rejected = TargetError.Rejected(503, "overloaded", "full")
    private val broken = TargetError.Broken("connection reset")
    private val timedOut = TargetError.TimedOut("no answer")

    private class Case(
        val progress: CallProgress,
        val error: TargetError?,
        val expected: Execution,
    )

    @Test
    fun `execution follows from progress and error`() {
        val table =
            listOf(
                Case(CallProgress.NOT_DISPATCHED, null, NOT_RUN),
                Case(CallProgress.NOT_DISPATCHED, notSent, NOT_RUN),
                Case(CallProgress.NOT_DISPATCHED, timedOut, NOT_RUN),
                Case(CallProgress.DISPATCHED, notSent, NOT_RUN),
                Case(CallProgress.DISPATCHED, rejected, NOT_RUN),
                Case(CallProgress.DISPATCHED, broken, UNKNOWN),
                Case(CallProgress.DISPATCHED, timedOut, UNKNOWN),
                Case(CallProgress.DISPATCHED, null, UNKNOWN),
                Case(CallProgress.ANSWERING, broken, RAN),
                Case(CallProgress.ANSWERING, timedOut, RAN),
                Case(CallProgress.ANSWERING, rejected, RAN),
                Case(CallProgress.ANSWERING, notSent, RAN),
                Case(CallProgress.ANSWERING, null, RAN),
            )
        for (case in table) {
            assertEquals(case.expected, executionOf(case.progress, case.error), "${case.progress} ${case.error}")
        }
    }

    @Test
    fun `an attempt that ran or may have run outweighs those that did not run`() {
        assertEquals(NOT_RUN, joinExecutions(emptyList()))
        assertEquals(NOT_RUN, joinExecutions(listOf(NOT_RUN, NOT_RUN)))
        assertEquals(UNKNOWN, joinExecutions(listOf(UNKNOWN, NOT_RUN)))
        assertEquals(RAN, joinExecutions(listOf(UNKNOWN, RAN, NOT_RUN)))
    }

    @Test
    fun `a refusal carries the execution and is repeatable only if the call did not run`() {
        val refusal = refusalOf(CallProgress.DISPATCHED, notSent)
        assertEquals(Refusal(RefusalCode.TARGET_FAILED, "connection refused", NOT_RUN, repeatable = true), refusal)
        assertEquals(false, refusalOf(CallProgress.DISPATCHED, broken).repeatable)
        assertEquals(RefusalCode.DEADLINE_EXCEEDED, refusalOf(CallProgress.DISPATCHED, timedOut).code)
        assertEquals(RefusalCode.NO_CAPACITY, refusalOf(CallProgress.DISPATCHED, rejected).code)
    }
}
