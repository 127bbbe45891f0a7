@file:OptIn(ExperimentalCoroutinesApi::class)

package yuccaferry.daemon.targets

import com.github.michaelbull.result.Ok
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import yuccaferry.daemon.port.InstanceList
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.tasks.PeriodicTasks
import yuccaferry.model.Address
import yuccaferry.model.Configuration
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals

class TargetDirectoryTest {
    private val target = Target(TargetId("t"), TargetKind.ENGINE, ServiceName("m"), ZoneName("a"), Address("t:1"))

    /** Guards against a list whose decoding ended the poll, while the daemon went on with the targets of before. */
    @Test
    fun `the list is read again after an error`() =
        runTest {
            var reads = 0
            val list =
                object : InstanceList {
                    override suspend fun read() = if (++reads == 1) throw StackOverflowError() else Ok(listOf(target))
                }
            val directory = TargetDirectory(list, { Configuration.EMPTY }, NoTelemetry)
            directory.start(PeriodicTasks(backgroundScope, { MonotonicTime(currentTime) }, NoTelemetry))
            advanceTimeBy(5_000)
            assertEquals(listOf(target), directory.targets.toList())
        }
}
