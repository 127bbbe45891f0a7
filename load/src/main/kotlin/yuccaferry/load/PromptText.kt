/*
 * Builds the texts of prompts: plain ASCII, so that four characters are one estimated token and nothing needs escaping.
 * Prompts of one thread share their start; no two prompts are equal.
 */
package yuccaferry.load

private const val CHARS_PER_TOKEN = 4

/** The text of [prompt] in the run with [seed]; its length is exactly four characters a token. */
internal fun textOf(
    prompt: PlannedPrompt,
    seed: Long,
    sharedPart: Double,
): String {
    val length = prompt.tokens * CHARS_PER_TOKEN
    val shared = if (prompt.thread == null) 0 else (length * sharedPart).toInt()
    val text = StringBuilder(length)
    if (prompt.thread != null) text.fill("thread $seed ${prompt.thread}", shared)
    text.fill("request $seed ${prompt.number}", length)
    return text.toString()
}

/** Appends numbered phrases of [name] until the length is [until]. */
private fun StringBuilder.fill(
    name: String,
    until: Int,
) {
    var phrase = 0
    while (length < until) append(name).append(" part ").append(phrase++).append(". ")
    setLength(until)
}
