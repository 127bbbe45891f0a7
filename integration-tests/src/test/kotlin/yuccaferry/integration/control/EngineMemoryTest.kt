// Sends concurrent prompts that need more than twice the memory of one engine, and checks that their memory is released.
package yuccaferry.integration.control

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import yuccaferry.integration.Answer
import yuccaferry.integration.Caller
import yuccaferry.integration.Fleet
import yuccaferry.integration.Signal
import yuccaferry.integration.eventually
import yuccaferry.model.EngineLimits
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val KV_TOKENS = 20_000L
private const val BYTES_PER_TOKEN = 4

/** Length of a prompt that needs three engines of [KV_TOKENS] tokens each. */
private const val PROMPT_TOKENS = 45_000

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineMemoryTest {
    private val fleet =
        Fleet(
            daemonCount = 2,
            limits = EngineLimits(kvTokens = KV_TOKENS),
            enginesPerZone = 2,
            engineOptions =
                arrayOf(
                    "--kv-tokens",
                    "$KV_TOKENS",
                    "--start-warm",
                    "--prefill-tokens-per-second",
                    "50000",
                    "--decode-tokens-per-second",
                    "100",
                ),
        )

    @AfterAll
    fun stop() = fleet.close()

    private fun sendPrompt(
        daemon: Int,
        text: String,
    ): CompletableFuture<Answer> {
        val prompt = text.padEnd(PROMPT_TOKENS * BYTES_PER_TOKEN, 'x')
        return CompletableFuture.supplyAsync { Caller(fleet.daemons[daemon].callers).stream(prompt, pieces = 20) }
    }

    @Test
    fun `concurrent prompts that need three engines each are answered and leave no memory held`() {
        val answers = listOf(sendPrompt(0, "first"), sendPrompt(1, "second"), sendPrompt(0, "third")).map { it.get() }
        assertEquals(listOf(true, true, true), answers.map { it.whole }, "$answers")
        fleet.awaitNoMemoryHeld()
        assertTrue(fleet.proxiedEngines.all { it.engine.stats().maxKvTokens <= KV_TOKENS })
    }

    @Test
    fun `segments of a daemon that dies are released`() {
        val victim = fleet.addDaemon("victim")
        val prompt = "dies".padEnd(PROMPT_TOKENS * BYTES_PER_TOKEN, 'x')
        val call = Caller(victim.callers).startCompletion(prompt, pieces = 10_000, stream = true)
        eventually(
            "three engines hold the prompt",
            20.seconds,
        ) { fleet.proxiedEngines.count { it.engine.stats().kvHeldTokens > 1_000 } >= 3 }
        victim.process.signal(Signal.KILL)
        eventually("nothing is held", 20.seconds) { fleet.proxiedEngines.all { it.engine.stats().kvHeldTokens == 0L } }
        call.cancel(true)
    }
}
