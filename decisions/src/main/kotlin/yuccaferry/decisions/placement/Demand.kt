// Demand of one request, the input of a placement decision.
package yuccaferry.decisions.placement

import yuccaferry.model.AccountName
import yuccaferry.model.RequestId
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetKind

/**
 * Cost and requirements of one request.
 *
 * @property promptTokens estimated tokens of the prompt; zero for plain services.
 * @property heldTokens KV tokens of prompt and answer, held until the request ends.
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
