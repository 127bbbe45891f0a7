// What operators can do with one daemon besides the configuration.
package yuccaferry.daemon.admin

import yuccaferry.model.admin.DaemonStatus
import yuccaferry.model.admin.ExplainAnswer
import yuccaferry.model.admin.ExplainRequest
import yuccaferry.model.admin.Readiness

/** The daemon's part of the admin API. */
interface DaemonOperations {
    /** Whether callers may be sent here. */
    fun readiness(): Readiness

    /** What this daemon does and knows. */
    fun status(): DaemonStatus

    /** Starts a graceful leave; a repeat has no further effect. */
    fun drain(operator: String)

    /** Which targets a request would be considered for, and why it would or would not go there. */
    suspend fun explain(request: ExplainRequest): ExplainAnswer
}
