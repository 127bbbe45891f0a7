// Estimates the cost of a prompt: its tokens by size, corrected by the counts that engines report, and its prefix blocks.
package yuccaferry.daemon.request

import yuccaferry.decisions.placement.Demand
import yuccaferry.decisions.placement.PlacementPolicy
import yuccaferry.decisions.placement.TokenEstimator
import yuccaferry.decisions.placement.blockHashes
import yuccaferry.decisions.placement.estimateTokens
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetKind

/** Estimates the cost of prompts for [policy]; safe for concurrent use. */
class LengthBasedCostEstimator(
    private val policy: PlacementPolicy,
) : PromptCostEstimator {
    private val estimators = mutableMapOf<ServiceName, TokenEstimator>()

    override fun demand(request: GenerationRequest): Demand {
        val tokens = synchronized(estimators) { estimators[request.model] ?: TokenEstimator() }.estimate(request.promptText)
        return Demand(
            request = request.id,
            account = request.account.name,
            kind = TargetKind.ENGINE,
            serves = request.model,
            promptTokens = tokens,
            heldTokens = tokens + request.maxTokens,
            prefixBlocks = blockHashes(request.promptText),
        )
    }

    override fun priority(demand: Demand): Int = policy.priorityOf(demand)

    override fun observe(
        request: GenerationRequest,
        promptTokens: Long,
    ) {
        val estimated = estimateTokens(request.promptText)
        synchronized(estimators) {
            estimators[request.model] = (estimators[request.model] ?: TokenEstimator()).observe(estimated, promptTokens)
        }
    }
}
