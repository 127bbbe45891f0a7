// Interface through which the callers' API calls plain services.
package yuccaferry.daemon.request

import com.github.michaelbull.result.Result
import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.model.Refusal

/** Runs calls to plain services. */
fun interface PlainCalls {
    /** Runs [call]; at most once when its method is not idempotent. */
    suspend fun call(call: PlainCall): Result<ServiceAnswer, Refusal>
}
