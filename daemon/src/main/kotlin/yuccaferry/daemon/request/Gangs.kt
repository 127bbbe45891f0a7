/*
 * Reserves several engines for one prompt that is larger than any engine's memory. Engines are reserved in one
 * global order, all or none, so that two such prompts can't wait for each other. A reservation that is not renewed
 * expires, so that nothing stays reserved when this process dies.
 */
package yuccaferry.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import yuccaferry.daemon.port.AccessRefusal
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.EngineClient
import yuccaferry.daemon.port.GangCandidate
import yuccaferry.daemon.port.TargetAccess
import yuccaferry.decisions.placement.Demand
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId

/** Percentage of an engine's memory that one part of a prompt may take. */
private const val USABLE_PERCENT = 90

/** Longest time to reserve all engines of a gang before those reserved are released. */
private const val GANG_WAIT_MILLIS = 20_000L
private const val ROUND_PAUSE_MILLIS = 200L

/** Prefix of the request id under which observations of engines report a segment. */
private const val SEGMENT_PREFIX = "SEGMENT:"

/** One engine of a gang and the tokens of its part. */
internal data class PlannedPart(
    val candidate: GangCandidate,
    val tokens: Long,
)

/** Reserves gangs of engines for prompts of [daemon]. */
class Gangs(
    private val daemon: DaemonId,
    private val access: TargetAccess,
    private val engines: EngineClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /**
     * Tries to reserve engines for [request], whose cost is [demand], until its deadline; engines in [excluded] are not
     * used. The error is [AccessRefusal.TooLarge] when all engines together have too little memory.
     */
    internal suspend fun reserve(
        request: GenerationRequest,
        demand: Demand,
        excluded: Set<TargetId>,
    ): Result<Gang, AccessRefusal> {
        var round = 0
        while (clock.now() < request.deadline) {
            currentCoroutineContext().ensureActive()
            val targets = access.gangCandidates(demand, excluded)
            val plan = planParts(demand.heldTokens, targets) ?: return Err(AccessRefusal.TooLarge(targets.sumOf { usableTokens(it) }))
            val gang = Gang("${request.id}.$round", daemon, request, demand, plan, access, engines, clock, scope)
            if (gang.acquire(gangDeadline(request))) return Ok(gang)
            gang.release()
            delay(ROUND_PAUSE_MILLIS)
            round++
        }
        return Err(AccessRefusal.Full)
    }

    private fun gangDeadline(request: GenerationRequest): MonotonicTime = minOf(request.deadline, clock.now() + GANG_WAIT_MILLIS)
}

private fun usableTokens(candidate: GangCandidate) = candidate.kvTokens * USABLE_PERCENT / 100

/**
 * Chooses engines for [tokens] from [targets], which lists the emptiest first, and sorts the chosen ones by id. The last
 * one generates the answer. Returns null when all together have too little memory.
 */
internal fun planParts(
    tokens: Long,
    targets: List<GangCandidate>,
): List<PlannedPart>? {
    val parts = mutableListOf<PlannedPart>()
    var left = tokens
    for (target in targets) {
        if (left <= 0) break
        val share = minOf(left, usableTokens(target))
        parts += PlannedPart(target, share)
        left -= share
    }
    return if (left > 0) null else parts.sortedBy { it.candidate.target.id.value }
}

/** The request id under which an engine's allocator records the segment of gang [id]. */
internal fun segmentRequest(id: String) = RequestId(SEGMENT_PREFIX + id)
