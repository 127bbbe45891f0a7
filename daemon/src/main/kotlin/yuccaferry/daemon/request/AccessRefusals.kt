// Maps refusals of target access to the refusals that callers receive.
package yuccaferry.daemon.request

import yuccaferry.daemon.port.AccessRefusal
import yuccaferry.model.Execution
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode

/** Returns the refusal that a caller receives when no target was granted. */
internal fun refusalOf(refusal: AccessRefusal): Refusal =
    when (refusal) {
        AccessRefusal.NoTarget -> {
            Refusal(RefusalCode.NO_CAPACITY, "no target in service serves this account and model", Execution.NOT_RUN, retryAfterSeconds = 5)
        }

        AccessRefusal.Full -> {
            Refusal(RefusalCode.NO_CAPACITY, "no target had room before the deadline", Execution.NOT_RUN, retryAfterSeconds = 1)
        }

        is AccessRefusal.TooLarge -> {
            Refusal(
                RefusalCode.NO_CAPACITY,
                "the prompt and its answer need more memory than any target has (${refusal.kvTokens} tokens)",
                Execution.NOT_RUN,
                repeatable = false,
            )
        }
    }
