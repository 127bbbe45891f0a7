// The known name that a misspelt one is likely to mean.
package yuccaferry.model.json

/** Edits that turn one name into another that is still likely to be meant, per character of the longer name. */
private const val LIKELY_EDITS_PER_CHAR = 0.4

/** The name in [known] nearest to [name] by edit distance; null when none is near. */
internal fun nearest(
    name: String,
    known: List<String>,
): String? {
    if (name.length > 2 * (known.maxOfOrNull { it.length } ?: 0)) return null
    val best = known.minByOrNull { editDistance(name, it) } ?: return null
    val likely = maxOf(name.length, best.length) * LIKELY_EDITS_PER_CHAR
    return best.takeIf { editDistance(name, it) <= likely }
}

/** Levenshtein distance, upper and lower case being equal. */
private fun editDistance(
    a: String,
    b: String,
): Int {
    var above = IntArray(b.length + 1) { it }
    for (i in 1..a.length) {
        val row = IntArray(b.length + 1)
        row[0] = i
        for (j in 1..b.length) {
            val replaced = above[j - 1] + if (a[i - 1].equals(b[j - 1], ignoreCase = true)) 0 else 1
            row[j] = minOf(replaced, above[j] + 1, row[j - 1] + 1)
        }
        above = row
    }
    return above[b.length]
}
