package yuccaferry.decisions.dispatch

import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class TargetActivityTest {
    private val activity = TargetActivity()
    private val target = TargetId("t")
    private val run = Incarnation("1")
    private val start = MonotonicTime(10_000)

    @Test
    fun `a target that sent something later has sent since`() {
        activity.record(target, run, start + 10)
        assertTrue(activity.hasSentSince(target, run, start))
        assertFalse(activity.hasSentSince(target, run, start + 10))
    }

    @Test
    fun `an older sign from a peer doesn't replace a newer one`() {
        activity.record(target, run, start + 10)
        activity.record(target, run, start + -50)
        assertTrue(activity.hasSentSince(target, run, start))
    }

    @Test
    fun `a sign of an earlier run says nothing`() {
        activity.record(target, run, start + 10)
        assertFalse(activity.hasSentSince(target, Incarnation("2"), start))
    }
}
