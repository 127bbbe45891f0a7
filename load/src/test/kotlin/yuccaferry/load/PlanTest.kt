// Tests plans, prompt texts, and the checks of experiment files.
package yuccaferry.load

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

private const val SEED = 42L

internal fun experiment(
    seconds: Int = 100,
    rate: Double = 50.0,
    events: List<TimedEvent> = emptyList(),
) = Experiment(
    format = 1,
    name = "test",
    seed = SEED,
    durationSeconds = seconds,
    requestsPerSecond = rate,
    model = "brush-llm",
    service = "desk-app",
    lengths = listOf(LengthBand(0.7, 1_000, 4_000), LengthBand(0.28, 4_001, 100_000), LengthBand(0.02, 100_001, 1_000_000)),
    accounts = listOf(LoadAccount("large", "k1"), LoadAccount("middle", "k2"), LoadAccount("small", "k3")),
    threads = ThreadMix(share = 0.5, perAccount = 4),
    bookingShare = 0.1,
    lookupShare = 0.1,
    events = events,
)

class PlanTest {
    @Nested
    inner class Plans {
        private val requests = plan(experiment(), SEED)

        @Test
        fun `are the same for the same seed and differ for another`() {
            assertEquals(requests, plan(experiment(), SEED))
            assertNotEquals(requests, plan(experiment(), SEED + 1))
        }

        @Test
        fun `have the given rate and are in order of start`() {
            assertEquals(5_000.0, requests.size.toDouble(), 250.0)
            assertEquals(requests.sortedBy { it.startNanos }, requests)
        }

        @Test
        fun `have one long prompt in fifty`() {
            val prompts = requests.filterIsInstance<PlannedPrompt>()
            val long = prompts.count { it.lengthClass == LengthClass.LONG }
            assertEquals(prompts.size / 50.0, long.toDouble(), 30.0)
        }

        @Test
        fun `give the first account most and the last one least`() {
            val counts = requests.groupingBy { it.account.name }.eachCount()
            assertTrue(counts.getValue("large") > 1.5 * counts.getValue("middle"))
            assertTrue(counts.getValue("middle") > 1.2 * counts.getValue("small"))
        }
    }

    @Nested
    inner class PromptTexts {
        private val one = PlannedPrompt(1, 0, LoadAccount("a", "k"), tokens = 1_000, answerTokens = 8, thread = "a/1")

        @Test
        fun `have four characters a token`() {
            assertEquals(4_000, textOf(one, SEED, sharedPart = 0.9).length)
        }

        @Test
        fun `share their start within a thread only`() {
            val text = textOf(one, SEED, sharedPart = 0.9)
            val same = textOf(one.copy(number = 2), SEED, sharedPart = 0.9)
            val other = textOf(one.copy(number = 2, thread = "a/2"), SEED, sharedPart = 0.9)
            assertEquals(3_600 + "request 42 ".length, text.commonPrefixWith(same).length)
            assertTrue(text.commonPrefixWith(other).length < 20)
        }
    }

    @Nested
    inner class ExperimentFiles {
        @TempDir
        lateinit var folder: Path

        @Test
        fun `that are shipped can be read`() {
            assertEquals("zone", readExperiment(Path.of("experiments/zone.json")).get()?.name)
            assertEquals("mixed", readExperiment(Path.of("experiments/mixed.json")).get()?.name)
        }

        @Test
        fun `with an unknown field are refused with its name`() {
            val file = folder.resolve("e.json")
            file.writeText("""{"format": 1, "name": "x", "sede": 3}""")
            assertContains(checkNotNull(readExperiment(file).getError()).message, "sede")
        }

        @Test
        fun `with impossible values are refused with each path`() {
            val wrong = experiment().copy(format = 2, lengths = listOf(LengthBand(1.0, 5_000, 4_000)), requestsPerSecond = 0.0)
            assertEquals(
                listOf(
                    "format: expected 1, found 2",
                    "requestsPerSecond: expected a rate above 0",
                    "lengths[0]: expected 1 <= minTokens <= maxTokens",
                ),
                problemsOf(wrong),
            )
        }
    }
}
