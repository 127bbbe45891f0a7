/*
 * Forwards streams of events as they arrive. If a target fails midway, another one continues the same answer after the last
 * complete event that the caller received.
 */
package yuccaferry.gateway.request

import kotlinx.coroutines.delay
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.forward.retryAfterMillis
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.decisions.routing.RequestKind
import yuccaferry.gateway.net.BufferBudget
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.HttpClientConnector
import yuccaferry.gateway.net.HttpResponseWriter
import yuccaferry.gateway.peers.WorkTracker
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.view.Target
import yuccaferry.model.TargetId
import kotlin.random.Random

/** Forwards streams of events. */
internal class StreamForwarder(
    private val loop: EventLoop,
    private val connector: HttpClientConnector,
    private val format: RequestFormat,
    private val selector: TargetSelector,
    private val tracker: AttemptTracker,
    private val workTracker: WorkTracker,
    private val memory: MemoryReservations,
    private val notices: TargetNotices,
    private val guard: PromptGuard,
    private val random: Random,
    private val buffers: BufferBudget,
    private val telemetry: Telemetry,
) {
    private val rankedAdmission = RankedAdmission(loop, random, telemetry)

    /** Answers [request] through [reply]; returns the outcome for the log. */
    suspend fun forward(
        request: AdmittedRequest,
        kind: RequestKind.Stream,
        reply: HttpResponseWriter,
    ): String {
        val share = buffers.share()
        try {
            return forward(request, kind, reply, share)
        } finally {
            // A caller that reads slowly leaves the answer in the memory of this process.
            reply.closeWhenSent(share)
        }
    }

    private suspend fun forward(
        request: AdmittedRequest,
        kind: RequestKind.Stream,
        reply: HttpResponseWriter,
        share: BufferBudget.Share,
    ): String {
        val figures = request.service.engine ?: DEFAULT_FIGURES
        val progress = StreamProgress(request.head.lastEvent)
        val attempts = tracker.begin(request)
        while (attempts.hasTime) {
            val placement =
                when (val admission = admit(request, figures, attempts.tried)) {
                    is Admission.Admitted -> admission.placement
                    Admission.NoTarget -> break
                    is Admission.Refused -> return refuse(request, attempts, reply, admission.backlogMillis) + ":${admission.reason}"
                }
            if (!placement.isServable && attempts.sent == 0) return refuseUnservable(request, placement, attempts, reply)
            val isLast = attempts.sent + 1 >= request.route.maxAttempts || !kind.resumable
            attempts.recordStart(placement.main, *inputs(request, placement, progress))
            val attempt = attemptOf(request, placement, figures, progress, reply, share, attempts)
            val end = attempt.run(waitUntilDeadline = isLast)
            attempts.recordEnd(placement.main, end, attempt.faultyTarget ?: placement.main, *attempt.details())
            recordOutcome(request, placement.main, attempt, end, reply.isComplete)
            if (reply.isComplete) return "answered:events_${progress.events}"
            if (!progress.isResumable || !attempts.canRetry(MAX_TARGETS)) break
        }
        return answerUnserved(request, attempts, progress, reply)
    }

    /** Ends the answer to a request that no target has answered completely; returns the outcome for the log. */
    private fun answerUnserved(
        request: AdmittedRequest,
        attempts: AttemptTracker.Attempts,
        progress: StreamProgress,
        reply: HttpResponseWriter,
    ): String {
        if (reply.isStarted) return "cut:events_${progress.events}"
        return progress.failure?.respond(format, reply) ?: refuse(request, attempts, reply)
    }

    private fun recordOutcome(
        request: AdmittedRequest,
        target: Target,
        attempt: StreamAttempt,
        end: AttemptEnd,
        isAnswered: Boolean,
    ) {
        if (isAnswered) {
            guard.recordAnswer(request)
        } else if (!attempt.hasBegun) {
            guard.recordUnanswered(request, target, end)
        }
    }

    private fun attemptOf(
        request: AdmittedRequest,
        placement: Placement,
        figures: EngineFigures,
        progress: StreamProgress,
        reply: HttpResponseWriter,
        share: BufferBudget.Share,
        attempts: AttemptTracker.Attempts,
    ) = StreamAttempt(
        loop,
        connector,
        format,
        selector,
        workTracker,
        memory,
        notices,
        telemetry,
        request,
        placement,
        figures,
        progress,
        reply,
        share,
        onFirstEvent = { load ->
            // The time of a prompt that is read in parts depends on several engines.
            if (placement.helpers.isEmpty()) attempts.recordFirstEvent(placement.main, placement.plan.predictedMillis, load)
        },
        onBegun = { guard.recordAnswer(request) },
    )

    private fun refuse(
        request: AdmittedRequest,
        attempts: AttemptTracker.Attempts,
        reply: HttpResponseWriter,
        waitingMillis: Double = 0.0,
    ): String {
        val part = guard.quarantinedPart(request)
        if (part == null) {
            val pauseMillis = selector.millisUntilOpen(request.service.name, loop.now()).toDouble()
            return attempts.refuse(reply, retryAfter(request, maxOf(pauseMillis, waitingMillis)))
        }
        telemetry.count("yuccaferry_quarantined_requests_total")
        // The prompt can't be served in the time that its caller has, so the caller is asked to return as late as callers do.
        return attempts.refuse(reply, retryAfter(request, backlogMillis = Double.MAX_VALUE)) + ":quarantined_$part"
    }

    private fun refuseUnservable(
        request: AdmittedRequest,
        placement: Placement,
        attempts: AttemptTracker.Attempts,
        reply: HttpResponseWriter,
    ): String {
        attempts.refuse(reply, retryAfter(request, placement.plan.main.remainingPrefillMillis))
        return "unservable:predicted_${placement.plan.predictedMillis.toInt()}"
    }

    private fun retryAfter(
        request: AdmittedRequest,
        backlogMillis: Double,
    ) = retryAfterMillis(request.head.id, MIN_RETRY_AFTER_MILLIS, backlogMillis, request.deadline - loop.now(), request.urgency)

    /** Waits for targets that [request] may be sent to; one that a target in [tried] has failed doesn't queue again. */
    private suspend fun admit(
        request: AdmittedRequest,
        figures: EngineFigures,
        tried: Set<TargetId>,
    ): Admission {
        val urgency = request.urgency
        if (urgency != null && tried.isEmpty()) {
            return rankedAdmission.admit(request, urgency, selector.streamPlacementFor(figures)) { now ->
                if (guard.quarantinedPart(request) == null) selector.place(request, figures, tried, now) else null
            }
        }
        return place(request, figures, tried)?.let { Admission.Admitted(it) } ?: Admission.NoTarget
    }

    private suspend fun place(
        request: AdmittedRequest,
        figures: EngineFigures,
        tried: Set<TargetId>,
    ): Placement? {
        while (guard.quarantinedPart(request) == null) {
            val placement = selector.place(request, figures, tried, loop.now())
            if (placement == null || !placement.shouldWait) return placement
            // Random pauses keep daemons from choosing the same idle engine at the same moment.
            delay(random.nextLong(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS))
        }
        return null
    }

    private fun inputs(
        request: AdmittedRequest,
        placement: Placement,
        progress: StreamProgress,
    ): Array<Field> =
        arrayOf(
            Field("tokens", request.head.promptTokens),
            Field("waited_ms", loop.now() - request.arrival),
            Field("active", placement.plan.main.active),
            Field(
                "reading_ms",
                placement.plan.main.remainingPrefillMillis
                    .toInt(),
            ),
            Field("predicted_ms", placement.plan.predictedMillis.toInt()),
            Field("helpers", placement.helpers.joinToString(",") { it.target.id.value }.ifEmpty { null }),
            Field("after_event", progress.lastEvent),
        )

    private companion object {
        /** Maximum number of attempts for one stream while no target can be reached. */
        const val MAX_TARGETS = 4

        /** Bounds in ms of the random pause before the next search for an idle engine. */
        const val MIN_WAIT_MILLIS = 15L
        const val MAX_WAIT_MILLIS = 60L

        /** Shortest time in milliseconds after which a refused caller may retry: a few passes of an engine. */
        const val MIN_RETRY_AFTER_MILLIS = 150L

        /** Figures for services that state none: with them every prompt counts as short. */
        val DEFAULT_FIGURES =
            EngineFigures(
                slots = 1,
                memoryTokens = Long.MAX_VALUE,
                stepMillis = 0.0,
                stepMillisPerSequence = 0.0,
                contextMillisPerThousand = 0.0,
                prefillTokensPerMillisecond = 1e9,
                pairMillisPerMillion = 0.0,
                chunkTokens = Int.MAX_VALUE,
                stepsPerPass = 1,
            )
    }
}

/** Progress of a stream across its attempts; [lastEvent] is the number of the last event that the caller received, or null. */
internal class StreamProgress(
    lastEvent: Long?,
) {
    var lastEvent: Long? = lastEvent
        private set

    /** Number of blocks of events forwarded to the caller. */
    var events = 0
        private set

    /** Whether another target can continue after the last event, which it is told by its number. */
    var isResumable = true
        private set

    /** A target's own failure, which the caller receives if no other target succeeds. */
    var failure: BufferedResponse? = null

    /** Records that [forwarded] was forwarded to the caller. */
    fun record(forwarded: Events) {
        events++
        if (forwarded.ids.isEmpty()) return
        lastEvent = forwarded.ids.lastOrNull { it != null } ?: lastEvent
        isResumable = forwarded.lastId != null
    }
}
