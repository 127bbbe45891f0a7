package yuccaferry.decisions.lifecycle

import yuccaferry.model.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class StreamCheckTest {
    private val own = RequestId("own")
    private val check = StreamCheck(own)

    @Test
    fun `pieces in order are delivered and the end completes the answer`() {
        assertEquals(StreamVerdict.Deliver, check.piece(own, 0))
        assertEquals(StreamVerdict.Deliver, check.piece(own, 1))
        assertEquals(StreamVerdict.Complete, check.finish(own, 2))
    }

    @Test
    fun `a duplicate is dropped`() {
        check.piece(own, 0)
        assertEquals(StreamVerdict.Skip, check.piece(own, 0))
    }

    @Test
    fun `a gap is a fault, and the missing piece stays the next one`() {
        check.piece(own, 0)
        assertIs<StreamVerdict.Fault>(check.piece(own, 2))
        assertEquals(1, check.nextPiece)
    }

    @Test
    fun `a piece of another request is a fault`() {
        assertIs<StreamVerdict.Fault>(check.piece(RequestId("other"), 0))
    }

    @Test
    fun `an end before all pieces arrived is a fault`() {
        check.piece(own, 0)
        assertIs<StreamVerdict.Fault>(check.finish(own, 2))
    }

    @Test
    fun `an end of another request is a fault`() {
        assertIs<StreamVerdict.Fault>(check.finish(RequestId("other"), 0))
    }
}
