package yuccaferry.integration.configuration

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import yuccaferry.integration.ProcessUnderTest
import yuccaferry.integration.Signal
import yuccaferry.integration.eventually
import yuccaferry.model.ZoneName
import yuccaferry.model.admin.ChangeState
import java.io.File
import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

private const val DAEMONS = 3
private const val RACES = 10
private const val LOST_ROUNDS = 5
private val IN_FORCE_BOUND = 5.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ConfigurationTest {
    private val fleet = ConfigurationFleet(DAEMONS)
    private val first get() = fleet.daemons[0]
    private val second get() = fleet.daemons[1]
    private val third get() = fleet.daemons[2]

    @AfterTest
    fun clearFaults() {
        fleet.keyValue.clearFaults()
        fleet.daemons.forEach { it.keyValueProxy.clearFaults() }
        eventually("all daemons hold one version", 20.seconds) {
            fleet.daemons
                .map { it.version() }
                .distinct()
                .size == 1
        }
    }

    @AfterAll
    fun close() = fleet.close()

    private fun weightAt(daemon: ConfiguredDaemon): Int =
        daemon
            .configuration()
            .file.accounts
            .single()
            .weight

    private fun awaitVersion(
        version: Long,
        daemons: List<ConfiguredDaemon> = fleet.daemons,
    ) = eventually("version $version is in force everywhere", IN_FORCE_BOUND) { daemons.all { it.version() >= version } }

    @Nested
    inner class `a zone that is taken out` {
        @Test
        fun `is out on every daemon within seconds, and no file brings it back`() {
            val zone = ZoneName("b")
            val answer = second.post("/v1/zones/b/out").change()
            val time = measureTime { eventually("b is out", IN_FORCE_BOUND) { fleet.daemons.all { zone in it.configuration().zonesOut } } }
            println("zone out in force on $DAEMONS daemons after $time, state ${answer.state}")
            assertEquals(ChangeState.ACCEPTED, answer.state)
            val applied = first.apply(weight = 7, base = answer.version.value).change()
            awaitVersion(applied.version.value)
            assertTrue(fleet.daemons.all { zone in it.configuration().zonesOut })
            awaitVersion(
                third
                    .post("/v1/zones/b/in")
                    .change()
                    .version.value,
            )
            assertTrue(fleet.daemons.none { zone in it.configuration().zonesOut })
        }

        @Test
        fun `is out on a daemon that is cut off from the key-value service`() {
            third.keyValueProxy.setFaults("""{"cut":true}""")
            val version = first.post("/v1/zones/b/out").change().version
            awaitVersion(version.value)
            assertTrue(ZoneName("b") in third.configuration().zonesOut)
            first.post("/v1/zones/b/in").change()
        }
    }

    @Nested
    inner class `two operators at once` {
        @Test
        fun `one succeeds and the other receives the differences`() {
            repeat(RACES) { round ->
                val base = first.version()
                eventually("both daemons hold $base", IN_FORCE_BOUND) { second.version() >= base }
                val weights = listOf(10 + round, 100 + round)
                val answers =
                    listOf(first, second)
                        .zip(weights) { daemon, weight -> CompletableFuture.supplyAsync { daemon.apply(weight, base) } }
                        .map { it.join() }
                assertEquals(listOf(200, 409), answers.map { it.statusCode() }.sorted(), answers.joinToString { it.body() })
                val conflict = answers.indexOfFirst { it.statusCode() == 409 }
                val differs = """{"path":"$.accounts[0].weight","from":${weights[1 - conflict]},"to":${weights[conflict]}}"""
                assertContains(answers[conflict].body(), differs)
                assertEquals(
                    base + 1,
                    answers[1 - conflict]
                        .change()
                        .version.value,
                )
                awaitVersion(base + 1)
            }
        }
    }

    @Nested
    inner class `a lost answer of the key-value service` {
        @Test
        fun `is resolved by reading back`() {
            val lostBefore = fleet.keyValue.stats().lostAnswers
            repeat(LOST_ROUNDS) { round ->
                val base = fleet.daemons.maxOf { it.version() }
                awaitVersion(base)
                fleet.keyValue.setFaults("""{"lose_answers":1}""")
                val version =
                    first
                        .apply(weight = 500 + round, base = base)
                        .change()
                        .version.value
                assertEquals(base + 1, version)
                assertEquals(500 + round, weightAt(first))
            }
            assertTrue(fleet.keyValue.stats().lostAnswers >= lostBefore + LOST_ROUNDS)
        }
    }

    @Nested
    inner class `a daemon that starts while the key-value service is unavailable` {
        @Test
        fun `gets the newest version from its peers before it is ready`() {
            val version = first.apply(weight = 77, base = first.version()).change().version
            awaitVersion(version.value)
            fleet.keyValue.setFaults("""{"outage":true}""")
            val late = fleet.start()
            eventually("the late daemon is ready", 30.seconds) { late.isReady() }
            assertEquals(version.value, late.version())
        }

        @Test
        fun `is not ready when it reaches no peer`() {
            fleet.keyValue.setFaults("""{"outage":true}""")
            val alone = fleet.start(seeds = emptyList())
            assertFalse(alone.isReady())
            assertContains(alone.get("/ready").body(), "the newest configuration is not known yet")
        }
    }

    @Nested
    inner class `a daemon that resumes after a pause` {
        @Test
        fun `never returns to an older version and soon has the newest`() {
            val paused = third
            val before = paused.version()
            paused.signal(Signal.STOP)
            val version =
                first
                    .apply(weight = 88, base = first.version())
                    .change()
                    .version.value
            paused.signal(Signal.CONT)
            val seen = mutableListOf<Long>()
            eventually("the resumed daemon has version $version", IN_FORCE_BOUND) {
                seen += paused.version()
                seen.last() == version
            }
            assertEquals(seen.sorted(), seen)
            assertTrue(seen.first() >= before)
        }
    }

    @Nested
    inner class `the command line` {
        @Test
        fun `applies a file and waits until every daemon has it`() {
            val token = File.createTempFile("token", "", File("target")).apply { writeText(TOKEN) }
            val file = File.createTempFile("fleet", ".json", File("target")).apply { writeText(operatorFile(weight = 99)) }
            val arguments = listOf("apply", file.path, "--wait", "--admin", first.admin, "--token-file", token.path)
            ProcessUnderTest.start("ctl", "yuccaferry.ctl.MainKt", arguments).use { assertEquals(0, it.awaitEnd()) }
            assertEquals(List(fleet.daemons.size) { 99 }, fleet.daemons.map { weightAt(it) })
        }
    }
}
