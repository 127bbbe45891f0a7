/*
 * Reserves several engines for one prompt that is larger than any engine's memory. Engines are reserved in one
 * global order, all or none, so that two such prompts can't wait for each other; a reservation that is not renewed
 * ends by itself, so that nothing stays reserved when this process dies.
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
import yuccaferry.daemon.port.PartTarget
import yuccaferry.daemon.port.TargetAccess
import yuccaferry.decisions.placement.Demand
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId

/** Part of an engine's memory that one part of a prompt may take, in percent. */
private const val USABLE_PERCENT = 90

/** Longest wait for one engine before all are given back. */
private const val PART_WAIT_MILLIS = 20_000L
private const val ROUND_PAUSE_MILLIS = 200L

/** Prefix of the id under which engines' observers see a segment. */
private const val SEGMENT_PREFIX = "SEGMENT:"

/** One engine of a gang and the tokens it takes. */
internal data class PlannedPart(
    val part: PartTarget,
    val tokens: Long,
)

/** Reserves engines for [daemon]'s prompts. */
class Gangs(
    private val daemon: DaemonId,
    private val access: TargetAccess,
    private val engines: EngineClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** Reserves engines for [request], whose cost is [demand], until its deadline. */
    internal suspend fun reserve(
        request: GenerationRequest,
        demand: Demand,
        excluded: Set<TargetId>,
    ): Result<Gang, AccessRefusal> {
        var round = 0
        while (clock.now() < request.deadline) {
            currentCoroutineContext().ensureActive()
            val targets = access.partTargets(demand, excluded)
            val plan = planParts(demand.heldTokens, targets) ?: return Err(AccessRefusal.TooLarge(targets.sumOf { usable(it) }))
            val gang = Gang("${request.id}.$round", daemon, request, demand, plan, access, engines, clock, scope)
            if (gang.acquire(partDeadline(request))) return Ok(gang)
            gang.release()
            delay(ROUND_PAUSE_MILLIS)
            round++
        }
        return Err(AccessRefusal.Full)
    }

    private fun partDeadline(request: GenerationRequest): MonotonicTime = minOf(request.deadline, clock.now() + PART_WAIT_MILLIS)
}

private fun usable(part: PartTarget) = part.kvTokens * USABLE_PERCENT / 100

/**
 * Chooses engines for [tokens], the emptiest first, and orders them by id; null when all together are too small.
 * The last engine of the order generates the answer.
 */
internal fun planParts(
    tokens: Long,
    targets: List<PartTarget>,
): List<PlannedPart>? {
    val parts = mutableListOf<PlannedPart>()
    var left = tokens
    for (target in targets) {
        if (left <= 0) break
        val share = minOf(left, usable(target))
        parts += PlannedPart(target, share)
        left -= share
    }
    return if (left > 0) null else parts.sortedBy { it.part.target.id.value }
}

/** The id under which the book of an engine knows the segment of gang [id]. */
internal fun segmentRequest(id: String) = RequestId(SEGMENT_PREFIX + id)
