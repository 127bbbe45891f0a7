// Classes of prompt length by which results are reported.
package yuccaferry.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val SHORT_TOKENS = 4_000L
private const val MEDIUM_TOKENS = 100_000L

/** Length class of a prompt: up to 4,000 tokens, up to 100,000, above. */
@Serializable
enum class LengthClass {
    @SerialName("short")
    SHORT,

    @SerialName("medium")
    MEDIUM,

    @SerialName("long")
    LONG,
    ;

    /** Name in tables, options and JSON. */
    val label = name.lowercase()

    companion object {
        /** The class of a prompt of [tokens] tokens. */
        fun of(tokens: Long) =
            when {
                tokens <= SHORT_TOKENS -> SHORT
                tokens <= MEDIUM_TOKENS -> MEDIUM
                else -> LONG
            }
    }
}
