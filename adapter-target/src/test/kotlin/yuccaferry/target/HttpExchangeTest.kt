package yuccaferry.target

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import yuccaferry.daemon.port.TargetError
import kotlin.test.Test
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue

class HttpExchangeTest {
    /** Guards against a cancelled connection that was taken for a caller who left: the request ended without an answer. */
    @Test
    fun `a connection that is cancelled is a broken exchange`() =
        runTest {
            assertIs<TargetError.Broken>(exchange<Unit>(1_000) { throw CancellationException("connection closed") }.getError())
            assertIs<TargetError.Broken>(exchange<Unit>(1_000) { withTimeout(1) { awaitCancellation() } }.getError())
        }

    @Test
    fun `an exchange without an answer times out`() =
        runTest { assertIs<TargetError.TimedOut>(exchange<Unit>(1_000) { awaitCancellation() }.getError()) }

    @Test
    fun `an exchange whose caller leaves is cancelled`() =
        runTest {
            val call = async { exchange<Unit>(1_000) { awaitCancellation() } }
            testScheduler.runCurrent()
            call.cancel()
            assertFailsWith<CancellationException> { call.await() }
        }

    @Test
    fun `an exchange that is answered has the answer`() = runTest { assertTrue(exchange(1_000) { Ok(1) }.isOk) }
}
