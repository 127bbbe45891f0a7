/*
 * Operators make concurrent changes through several daemons while answers of the store are lost, writes take effect
 * late, the store is unavailable and daemons can't reach each other. All random choices come from one seed; time is virtual.
 */
@file:OptIn(ExperimentalCoroutinesApi::class)

package yuccaferry.daemon.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.daemon.tasks.PeriodicTasks
import yuccaferry.model.AttemptId
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ZoneName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val DAEMONS = 5
private const val OPERATORS = 4
private const val CHANGES_EACH = 6
private const val LOST_WRITE_PROBABILITY = 0.3
private const val SAMPLE_MILLIS = 5L

/** A change that an operator requested, and the daemon's answer. */
private class RequestedChange(
    val attempt: AttemptId,
    val weight: Int?,
    val zone: ZoneName?,
    val out: Boolean,
) {
    var answer: Result<ConfigurationVersion, ChangeError> = Err(ChangeError.Uncertain("not answered yet"))
}

class ConfigurationRaceTest {
    @Property(tries = 150, seed = "20261204")
    fun `versions form one order and every answer to an operator is true`(
        @ForAll seed: Long,
    ) = runTest {
        val race = Race(this, seed)
        race.run()
        race.check()
    }
}

private class Race(
    private val scope: TestScope,
    seed: Long,
) {
    private val random = Random(seed)
    private val store = FakeStore(random, scope)
    private val peers = FakePeers()
    private val members = List(DAEMONS) { member("d$it") }
    private val replicas = members.map { replica(it.address.value) }
    private val requested = mutableListOf<RequestedChange>()
    private val versionDecreases = mutableListOf<String>()
    private val failures = mutableListOf<String>()

    suspend fun run() {
        store.nextLostWrite = { if (random.nextDouble() < LOST_WRITE_PROBABILITY) LostWrite.entries.random(random) else null }
        val tasks = PeriodicTasks(scope, { MonotonicTime(scope.currentTime) }, TaskFailures(failures))
        val polls = replicas.map { it.start(tasks) }
        val background = listOf(scope.launch { injectFaults() }, scope.launch { watchVersions() })
        List(OPERATORS) { n -> scope.launch { operate(n) } }.joinAll()
        background.forEach { it.cancelAndJoin() }
        recover(polls)
    }

    fun check() {
        val records = store.written.map { checkNotNull(ConfigurationCodec.decode(it.value)) }
        assertEquals((1L..records.size).toList(), records.map { it.version.value }, "versions in the order of writes")
        assertEquals(emptyList(), versionDecreases)
        assertEquals(emptyList(), failures, "a poll failed")
        val made = records.associateBy { it.attempt }
        assertEquals(records.size, made.size, "a change was made twice")
        requested.forEach { checkAnswer(it, made[it.attempt]) }
        records.forEachIndexed { i, record -> checkStep(records.getOrElse(i - 1) { Configuration.EMPTY }, record) }
        replicas.forEach { assertEquals(records.last(), it.current) }
    }

    private fun checkAnswer(
        change: RequestedChange,
        record: Configuration?,
    ) {
        val version = change.answer.get()
        when (change.answer.getError()) {
            null -> {
                assertEquals(version, record?.version, "version of accepted change ${change.attempt}")
            }

            is ChangeError.Uncertain -> {}

            else -> {
                assertEquals(null, record, "change ${change.attempt} was made but answered ${change.answer}")
            }
        }
    }

    private fun checkStep(
        before: Configuration,
        after: Configuration,
    ) {
        val change = requested.first { it.attempt == after.attempt }
        val zone = change.zone
        if (zone == null) {
            assertEquals(change.weight, weightOf(after))
            assertEquals(before.zonesOut, after.zonesOut)
        } else {
            assertEquals(before.file, after.file)
            assertEquals(if (change.out) before.zonesOut + zone else before.zonesOut - zone, after.zonesOut)
        }
    }

    private suspend fun operate(operator: Int) {
        repeat(CHANGES_EACH) { n ->
            delay(random.nextLong(300))
            val replica = replicas.random(random)
            val attempt = AttemptId("o$operator-$n")
            val base = replica.current.version
            val change =
                if (random.nextBoolean() || base == ConfigurationVersion.NONE) {
                    RequestedChange(attempt, random.nextInt(1, 1_000), null, out = false)
                } else {
                    RequestedChange(attempt, null, ZoneName(listOf("a", "b").random(random)), random.nextBoolean())
                }
            requested += change
            change.answer =
                if (change.weight != null) {
                    replica.apply(file(change.weight), base, author(attempt.value))
                } else {
                    replica.setZone(checkNotNull(change.zone), change.out, author(attempt.value))
                }
        }
    }

    private suspend fun injectFaults() {
        while (true) {
            delay(random.nextLong(1_000))
            store.unavailable = random.nextInt(4) == 0
            peers.unreachable.clear()
            peers.unreachable += members.filter { random.nextInt(3) == 0 }.map { it.address }
        }
    }

    private suspend fun watchVersions() {
        val highest = replicas.map { it.current.version }.toMutableList()
        while (true) {
            replicas.forEachIndexed { i, replica ->
                val version = replica.current.version
                if (version < highest[i]) versionDecreases += "d$i from ${highest[i]} to $version"
                highest[i] = version
            }
            delay(SAMPLE_MILLIS)
        }
    }

    private suspend fun recover(polls: List<Job>) {
        store.unavailable = false
        store.nextLostWrite = { null }
        delay(3_000)
        polls.forEach { it.cancelAndJoin() }
        assertTrue(replicas.all { it.refresh() })
    }

    private fun replica(address: String): ConfigurationReplica {
        val self = members.first { it.address.value == address }
        val membership = Membership(self, members - self)
        val clock = { MonotonicTime(scope.currentTime) }
        val replica = ConfigurationReplica(store, clock, NoTelemetry, peers, { membership }, random = random)
        peers.replicas[self.address] = replica
        return replica
    }
}

/** Adds a line to [failures] for each round of a task that failed. */
private class TaskFailures(
    private val failures: MutableList<String>,
) : Telemetry by NoTelemetry {
    override fun event(
        name: String,
        vararg fields: Field,
        severity: Severity,
    ) {
        if (name == "task_failed") failures += fields.joinToString()
    }
}

private fun weightOf(configuration: Configuration) =
    configuration.file.accounts
        .single()
        .weight
