// Operator calls on one daemon, apart from the configuration.
package yuccaferry.daemon.admin

import yuccaferry.model.admin.DaemonStatus
import yuccaferry.model.admin.ExplainAnswer
import yuccaferry.model.admin.ExplainRequest
import yuccaferry.model.admin.Readiness

/** The calls of the admin API that concern one daemon. */
interface DaemonOperations {
    /** Whether this daemon is ready for callers' requests. */
    fun readiness(): Readiness

    /** Reports this daemon's load, peers, shards and targets. */
    fun status(): DaemonStatus

    /** Starts a graceful shutdown on behalf of [operator]; a repeated call has no further effect. */
    fun drain(operator: String)

    /**
     * Reports, for each target that serves the model, whether it is eligible for a request, and why or why not. Lists no
     * targets when the account does not exist or may not use the model.
     */
    suspend fun explain(request: ExplainRequest): ExplainAnswer
}
