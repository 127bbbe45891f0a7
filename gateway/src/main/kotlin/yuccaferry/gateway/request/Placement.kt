// The targets that were chosen for a request.
package yuccaferry.gateway.request

import yuccaferry.decisions.dispatch.StreamPlan
import yuccaferry.gateway.view.Target

/**
 * The targets of a [plan].
 *
 * @property shouldWait whether a later plan is likely to serve the request sooner.
 * @property isServable whether the first event can arrive before the request's deadline.
 */
internal class Placement(
    val plan: StreamPlan,
    val shouldWait: Boolean,
    val isServable: Boolean,
    val main: Target,
    val helpers: List<HelperTarget>,
)

/** A helper and the number of the prompt's tokens that its memory holds for the main target. */
internal class HelperTarget(
    val target: Target,
    val reservedTokens: Long,
)
