// What one request asks of a target, as the placement decision sees it.
package yuccaferry.decisions.placement

import yuccaferry.model.AccountName
import yuccaferry.model.RequestId
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetKind

/**
 * The cost and needs of one piece of work.
 *
 * @property promptTokens estimated tokens of the prompt; zero for plain services.
 * @property heldTokens KV tokens held until the work ends: prompt and answer.
 * @property prefixBlocks hashes of the prompt's first blocks, each covering all blocks before it.
 */
data class Demand(
    val request: RequestId,
    val account: AccountName,
    val kind: TargetKind,
    val serves: ServiceName,
    val promptTokens: Long = 0,
    val heldTokens: Long = 0,
    val prefixBlocks: List<Long> = emptyList(),
)
