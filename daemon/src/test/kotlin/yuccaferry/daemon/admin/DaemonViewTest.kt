@file:OptIn(ExperimentalCoroutinesApi::class)

package yuccaferry.daemon.admin

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.configuration.ConfigurationReplica
import yuccaferry.daemon.configuration.FakePeers
import yuccaferry.daemon.configuration.FakeStore
import yuccaferry.daemon.configuration.Membership
import yuccaferry.daemon.configuration.author
import yuccaferry.daemon.configuration.file
import yuccaferry.daemon.configuration.member
import yuccaferry.daemon.grants.TargetLoads
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.InstanceList
import yuccaferry.daemon.port.InstanceListError
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.request.Admission
import yuccaferry.daemon.targets.TargetDirectory
import yuccaferry.daemon.tasks.PeriodicTasks
import yuccaferry.decisions.placement.PlacementPolicy
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DaemonViewTest {
    /** A store whose reads first do what [beforeRead] says. */
    private class FailingStore(
        private val store: FakeStore = FakeStore(),
    ) : KeyValueStore by store {
        var beforeRead: suspend () -> Unit = {}
        var unavailable by store::unavailable

        override suspend fun readPrefix(
            prefix: String,
            afterRevision: Long,
        ) = beforeRead().let { store.readPrefix(prefix, afterRevision) }
    }

    private val store = FailingStore()
    private val list =
        object : InstanceList {
            override suspend fun read() = Err(InstanceListError("not used"))
        }

    /** Runs [test] with a daemon whose poll of the configuration runs and which has one in force. */
    private fun withDaemon(test: suspend TestScope.(ConfigurationReplica, DaemonView) -> Unit) =
        runTest {
            val clock = Clock { MonotonicTime(currentTime) }
            val replica = ConfigurationReplica(store, clock, NoTelemetry, FakePeers(), { Membership(member("one")) })
            val tasks = PeriodicTasks(backgroundScope, clock, NoTelemetry)
            replica.start(tasks)
            replica.apply(file(weight = 1), ConfigurationVersion(0), author("x"))
            advanceTimeBy(5_000)
            test(replica, viewOf(replica, tasks, clock))
        }

    private fun viewOf(
        replica: ConfigurationReplica,
        tasks: PeriodicTasks,
        clock: Clock,
    ): DaemonView {
        val directory = TargetDirectory(list, { replica.current }, NoTelemetry)
        return DaemonView(
            location = DaemonLocation(DaemonId("d"), RegionName("r"), ZoneName("a")),
            replica = replica,
            admission = Admission({ replica.current }, clock),
            shardTable = { error("not used") },
            directory = directory,
            targetLoads = TargetLoads(directory, PlacementPolicy.all.first(), clock),
            costs = { emptyList() },
            failingTasks = tasks::failing,
            startDrain = {},
            clock = clock,
            telemetry = NoTelemetry,
        )
    }

    @Nested
    inner class `a daemon whose poll of the configuration fails` {
        /** Guards against a poll that an error or a timeout ended for good, while the daemon said that it was ready. */
        private fun isNotReadyUntilItRunsAgain(fail: suspend () -> Unit) =
            withDaemon { replica, view ->
                assertTrue(view.readiness().ready)
                store.beforeRead = fail
                advanceTimeBy(5_000)
                assertEquals(listOf("the task configuration has failed or stalled"), view.readiness().reasons)
                store.beforeRead = {}
                val writer =
                    ConfigurationReplica(store, { MonotonicTime(currentTime) }, NoTelemetry, FakePeers(), { Membership(member("two")) })
                assertEquals(ConfigurationVersion(2), writer.apply(file(weight = 2), ConfigurationVersion(1), author("y")).get())
                advanceTimeBy(5_000)
                assertEquals(ConfigurationVersion(2), replica.current.version)
                assertTrue(view.readiness().ready)
            }

        @Test
        fun `with errors is not ready until it runs again`() = isNotReadyUntilItRunsAgain { throw StackOverflowError() }

        @Test
        fun `with timeouts of its own is not ready until it runs again`() =
            isNotReadyUntilItRunsAgain { withTimeout(1) { awaitCancellation() } }

        @Test
        fun `by never ending is not ready`() =
            withDaemon { _, view ->
                store.beforeRead = { awaitCancellation() }
                advanceTimeBy(PeriodicTasks.STALL_MILLIS + 5_000)
                assertEquals(listOf("the task configuration has failed or stalled"), view.readiness().reasons)
            }
    }

    @Test
    fun `a daemon stays ready while the store is unavailable`() =
        withDaemon { _, view ->
            store.unavailable = true
            advanceTimeBy(120_000)
            assertTrue(view.readiness().ready)
        }
}
