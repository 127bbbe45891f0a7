// Classes of prompt length, which placement and queue order distinguish.
package yuccaferry.decisions.placement

/** Longest prompt of the short class, in tokens. */
const val SHORT_PROMPT_TOKENS = 4_000L

/** Longest prompt of the medium class, in tokens. */
const val MEDIUM_PROMPT_TOKENS = 100_000L

/** Length class of a prompt. */
enum class LengthClass {
    SHORT,
    MEDIUM,
    LONG,
    ;

    companion object {
        /** Returns the class of a prompt of [tokens] tokens. */
        fun of(tokens: Long): LengthClass =
            when {
                tokens <= SHORT_PROMPT_TOKENS -> SHORT
                tokens <= MEDIUM_PROMPT_TOKENS -> MEDIUM
                else -> LONG
            }
    }
}

/** Length class of the prompt; requests to plain services are short. */
val Demand.lengthClass: LengthClass
    get() = LengthClass.of(promptTokens)
