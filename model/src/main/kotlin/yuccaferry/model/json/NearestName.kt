// Suggests a known name for a misspelt one.
package yuccaferry.model.json

/** Greatest edit distance at which a known name is suggested, per character of the longer name. */
private const val MAX_EDITS_PER_CHAR = 0.4

/** Returns the name in [known] with the least edit distance to [name], or null when none is close enough. */
internal fun nearest(
    name: String,
    known: List<String>,
): String? {
    if (name.length > 2 * (known.maxOfOrNull { it.length } ?: 0)) return null
    val best = known.minByOrNull { editDistance(name, it) } ?: return null
    val maxEdits = maxOf(name.length, best.length) * MAX_EDITS_PER_CHAR
    return best.takeIf { editDistance(name, it) <= maxEdits }
}

/** Levenshtein distance, ignoring case. */
private fun editDistance(
    a: String,
    b: String,
): Int {
    var previousRow = IntArray(b.length + 1) { it }
    for (i in 1..a.length) {
        val currentRow = IntArray(b.length + 1)
        currentRow[0] = i
        for (j in 1..b.length) {
            val substitution = previousRow[j - 1] + if (a[i - 1].equals(b[j - 1], ignoreCase = true)) 0 else 1
            currentRow[j] = minOf(substitution, previousRow[j] + 1, currentRow[j - 1] + 1)
        }
        previousRow = currentRow
    }
    return previousRow[b.length]
}
