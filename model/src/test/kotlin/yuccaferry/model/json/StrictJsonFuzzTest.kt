package yuccaferry.model.json

import com.github.michaelbull.result.mapBoth
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import yuccaferry.model.readOperatorFile
import kotlin.random.Random
import kotlin.test.assertTrue

private val VALID =
    """{"format":1,"zones":[{"name":"a","region":"r"}],
    "models":[{"name":"m","version":"1","adapters":["x"],"engine":{"kvTokens":400000,"checksFencing":false}}],
    "services":[{"name":"s","idempotentMethods":["GET"]}],
    "accounts":[{"name":"acc","keySha256":["${"0".repeat(64)}"],"serves":["m","s"],"zones":["a"],"weight":2}]}"""

private val FRAGMENTS =
    listOf(
        "\"",
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "null",
        "true",
        "1e999",
        "-0",
        "99999999999999999999",
        "\\u0000",
        "\\ud800",
        "\n",
        "\u0000",
        "\"name\":",
        "\"\"",
        "{}",
        "[]",
        "NaN",
        "//",
        "[[[[[[[[",
        "\uFEFF",
        "ž",
        "0.5",
    )

class StrictJsonFuzzTest {
    @Property(tries = 3_000, seed = "20261204")
    fun `a mutated file gives a value or problems but never an exception`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 6) edits: Int,
    ) {
        val random = Random(seed)
        var text = VALID
        repeat(edits) { text = mutate(text, random) }
        assertTrue(readOperatorFile(text).mapBoth({ true }, { it.isNotEmpty() }), text)
    }

    @Property(tries = 1_000, seed = "20261205")
    fun `any text gives a value or problems but never an exception`(
        @ForAll @Size(max = 200) text: String,
    ) {
        assertTrue(readOperatorFile(text).mapBoth({ true }, { it.isNotEmpty() }), text)
    }

    private fun mutate(
        text: String,
        random: Random,
    ): String {
        if (text.isEmpty()) return FRAGMENTS.random(random)
        val start = random.nextInt(text.length)
        val end = (start + random.nextInt(12)).coerceAtMost(text.length)
        return when (random.nextInt(4)) {
            0 -> text.removeRange(start, end)
            1 -> text.substring(0, start) + FRAGMENTS.random(random) + text.substring(start)
            2 -> text.replaceRange(start, end, FRAGMENTS.random(random))
            else -> text.substring(0, start) + text.substring(start, end) + text.substring(start)
        }
    }
}
