// A group of engines that together hold one prompt, from the reservation to the release of their memory.
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

/** Interval at which unused grants are renewed; well below the grant window. */
private const val RENEWAL_MILLIS = 700L

/** The engine of a gang that failed, and its error. */
internal data class FailedPart(
    val target: Target,
    val error: TargetError,
)

/** The engines of [plan], which hold the prompt of [request] together; the last one generates the answer. */
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

    /** Reserves the engines one after another and renews those reserved; false when one was not granted by [deadline]. */
    suspend fun acquire(deadline: MonotonicTime): Boolean {
        renewal = scope.launch { renewUnused() }
        return plan.indices.all { index -> reserve(index, deadline) }
    }

    private suspend fun reserve(
        index: Int,
        deadline: MonotonicTime,
    ): Boolean {
        val planned = plan[index]
        val part = demandOf(index, planned)
        return access.acquireOn(planned.candidate.target, part, deadline).fold(
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

    /** Prefills all parts but the last one; returns the first failure, null when there was none. */
    suspend fun prefill(priority: Int): FailedPart? {
        val texts = segmentTexts()
        for ((index, part) in parts().dropLast(1).withIndex()) {
            part.used = true
            val error = prefillPart(index, part, texts[index], priority)
            if (error != null) return FailedPart(part.planned.candidate.target, error)
        }
        return null
    }

    private suspend fun prefillPart(
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
        return engines.prefillSegment(part.planned.candidate.target, call).fold(success = { null }, failure = { it })
    }

    /** Splits the prompt's text into segments in proportion to the tokens of each part. */
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

    /** Returns the grant of the engine that generates the answer and marks it as used. */
    fun takeAnsweringGrant(): Grant = parts().last().also { it.used = true }.grant

    /**
     * Releases the memory and grants of all engines, whatever state the gang is in. Once the last engine's grant is used,
     * the code that uses it releases it.
     */
    fun release() {
        scope.launch {
            withContext(NonCancellable) {
                renewal?.cancel()
                parts().forEach { releasePart(it) }
            }
        }
    }

    private suspend fun releasePart(part: Reserved) {
        val last = part.demand.request == request.id
        if (last && part.used) return
        if (part.used) engines.releaseGang(part.planned.candidate.target, id)
        access.release(part.grant, if (part.used) UseOutcome.CANCELLED else UseOutcome.UNUSED)
    }

    private suspend fun renewUnused() {
        while (true) {
            delay(RENEWAL_MILLIS)
            parts().filterNot { it.used }.forEach { renew(it) }
        }
    }

    private suspend fun renew(part: Reserved) {
        access
            .acquireOn(part.planned.candidate.target, part.demand, clock.now() + RENEWAL_MILLIS)
            .fold(success = { part.grant = it }, failure = { })
    }

    private fun parts(): List<Reserved> = synchronized(reserved) { reserved.toList() }
}
