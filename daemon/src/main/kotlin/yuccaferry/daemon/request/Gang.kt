// The engines that hold one prompt together, from the reservation to the release of what they hold.
package yuccaferry.daemon.request

import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.EngineClient
import yuccaferry.daemon.port.Grant
import yuccaferry.daemon.port.SegmentCall
import yuccaferry.daemon.port.TargetAccess
import yuccaferry.daemon.port.TargetError
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.decisions.placement.Demand
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.Target

/** Time between two renewals of grants that are not used yet; well below the grant window. */
private const val RENEWAL_MILLIS = 700L

/** An engine of a gang that failed. */
internal data class BrokenPart(
    val target: Target,
    val error: TargetError,
)

internal class Gang(
    val id: String,
    private val daemon: DaemonId,
    private val request: GenerationRequest,
    private val demand: Demand,
    private val plan: List<PlannedPart>,
    private val access: TargetAccess,
    private val engines: EngineClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private class Reserved(
        val planned: PlannedPart,
        val demand: Demand,
        @Volatile var grant: Grant,
        @Volatile var used: Boolean = false,
    )

    private val reserved = mutableListOf<Reserved>()
    private var renewal: Job? = null

    /** Tokens that the segments hold once they are prefilled. */
    val prefilledTokens: Long get() = plan.dropLast(1).sumOf { it.tokens }

    /** Reserves each engine in turn and renews those that it has; false when one could not be had by [deadline]. */
    suspend fun acquire(deadline: MonotonicTime): Boolean {
        renewal = scope.launch { renewForever() }
        return plan.indices.all { index -> reserve(index, deadline) }
    }

    private suspend fun reserve(
        index: Int,
        deadline: MonotonicTime,
    ): Boolean {
        val planned = plan[index]
        val part = demandOf(index, planned)
        return access.acquireOn(planned.part.target, part, deadline).fold(
            success = {
                synchronized(reserved) { reserved += Reserved(planned, part, it) }
                true
            },
            failure = { false },
        )
    }

    private fun demandOf(
        index: Int,
        planned: PlannedPart,
    ): Demand {
        val last = index == plan.lastIndex
        return demand.copy(
            request = if (last) request.id else segmentRequest(id),
            promptTokens = planned.tokens,
            heldTokens = planned.tokens,
        )
    }

    /** Prefills all parts but the last; returns the engine that failed, null when none did. */
    suspend fun prefill(priority: Int): BrokenPart? {
        val texts = segmentTexts()
        for ((index, part) in parts().dropLast(1).withIndex()) {
            part.used = true
            val error = prefillOne(index, part, texts[index], priority)
            if (error != null) return BrokenPart(part.planned.part.target, error)
        }
        return null
    }

    private suspend fun prefillOne(
        index: Int,
        part: Reserved,
        text: String,
        priority: Int,
    ): TargetError? {
        if (clock.now() >= part.grant.useBy) return TargetError.NotSent("the grant expired before it was used")
        val call =
            SegmentCall(
                request = request.id,
                gang = id,
                index = index,
                owner = daemon,
                epoch = part.grant.epoch,
                text = text,
                priority = priority,
                timeLeftMillis = request.deadline - clock.now(),
            )
        return engines.prefillSegment(part.planned.part.target, call).fold(success = { null }, failure = { it })
    }

    /** Cuts the prompt's text into segments in proportion to the tokens of each part. */
    private fun segmentTexts(): List<String> {
        val total = plan.sumOf { it.tokens }
        var start = 0
        var tokens = 0L
        return plan.dropLast(1).map { planned ->
            tokens += planned.tokens
            val end = (request.promptText.length * tokens / total).toInt()
            request.promptText.substring(start, end).also { start = end }
        }
    }

    /** The grant of the engine that generates the answer. */
    fun last(): Grant = parts().last().also { it.used = true }.grant

    /** Frees everything on all engines, whatever state the gang is in. The last engine's grant is its user's to give back once used. */
    fun release() {
        scope.launch {
            withContext(NonCancellable) {
                renewal?.cancel()
                parts().forEach { releaseOne(it) }
            }
        }
    }

    private suspend fun releaseOne(part: Reserved) {
        val last = part.demand.request == request.id
        if (last && part.used) return
        if (part.used) engines.releaseGang(part.planned.part.target, id)
        access.release(part.grant, if (part.used) UseOutcome.CANCELLED else UseOutcome.UNUSED)
    }

    private suspend fun renewForever() {
        while (true) {
            delay(RENEWAL_MILLIS)
            parts().filterNot { it.used }.forEach { renew(it) }
        }
    }

    private suspend fun renew(part: Reserved) {
        access
            .acquireOn(part.planned.part.target, part.demand, clock.now() + RENEWAL_MILLIS)
            .fold(success = { part.grant = it }, failure = { })
    }

    private fun parts(): List<Reserved> = synchronized(reserved) { reserved.toList() }
}
