/*
 * Forwards streams of events as they arrive. When a target fails midway, another one continues the same answer after the last
 * whole event that the caller has.
 */
package yuccaferry.gateway.request

import kotlinx.coroutines.delay
import yuccaferry.daemon.port.Field
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.decisions.routing.RequestKind
import yuccaferry.gateway.net.CallerReply
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.ServerConnector
import yuccaferry.gateway.peers.WorkBoard
import yuccaferry.gateway.port.EngineMemory
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.model.TargetId
import kotlin.random.Random

/** Forwards streams. */
internal class StreamForwarder(
    private val loop: EventLoop,
    private val connector: ServerConnector,
    private val format: RequestFormat,
    private val selector: TargetSelector,
    private val tracker: AttemptTracker,
    private val board: WorkBoard,
    private val memory: EngineMemory,
    private val random: Random,
) {
    /** Answers [request] through [reply]; returns the outcome for the log. */
    suspend fun forward(
        request: AdmittedRequest,
        kind: RequestKind.Stream,
        reply: CallerReply,
    ): String {
        val figures = request.service.engine ?: PLAIN_FIGURES
        val progress = StreamProgress(request.head.lastEvent)
        val attempts = tracker.begin(request)
        while (attempts.hasTime) {
            val placement = place(request, figures, attempts.tried) ?: break
            val isLast = attempts.sent + 1 >= request.route.maxAttempts || !kind.resumable
            attempts.began(placement.main, *inputs(request, placement, progress))
            val attempt = StreamAttempt(loop, connector, format, selector, board, memory, request, placement, figures, progress, reply)
            val end = attempt.run(mayWaitLong = isLast)
            attempts.ended(placement.main, end, attempt.blamed ?: placement.main, *attempt.pace.fields())
            if (reply.isComplete) return "answered:events_${progress.events}"
            if (!attempts.mayTryAgain(MOST_TARGETS)) break
        }
        if (reply.isStarted) return "cut:events_${progress.events}"
        return progress.failure?.pass(format, reply) ?: attempts.refuse(reply, RETRY_AFTER_MILLIS)
    }

    private suspend fun place(
        request: AdmittedRequest,
        figures: EngineFigures,
        tried: Set<TargetId>,
    ): Placement? {
        while (true) {
            val placement = selector.place(request, figures, tried, loop.now())
            if (placement == null || !placement.shouldWait) return placement
            // Different pauses keep daemons from choosing the same idle engine at the same moment.
            delay(random.nextLong(SHORTEST_WAIT_MILLIS, LONGEST_WAIT_MILLIS))
        }
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
                placement.plan.main.readingMillis
                    .toInt(),
            ),
            Field("predicted_ms", placement.plan.predictedMillis.toInt()),
            Field("helpers", placement.helpers.joinToString(",") { it.target.id.value }.ifEmpty { null }),
            Field("after_event", progress.lastEvent),
        )

    private companion object {
        /** Targets that are tried for one stream while none can be reached. */
        const val MOST_TARGETS = 4

        /** Milliseconds between looks for idle engines. */
        const val SHORTEST_WAIT_MILLIS = 15L
        const val LONGEST_WAIT_MILLIS = 60L

        /** Milliseconds after which a refused caller may come back: a few passes of an engine. */
        const val RETRY_AFTER_MILLIS = 150L

        /** Figures for streams of services that state none: every prompt counts as short. */
        val PLAIN_FIGURES =
            EngineFigures(
                slots = 1,
                memoryTokens = Long.MAX_VALUE,
                stepMillis = 0.0,
                stepMillisPerWriter = 0.0,
                contextMillisPerThousand = 0.0,
                readTokensPerMillisecond = 1e9,
                pairMillisPerMillion = 0.0,
                chunkTokens = Int.MAX_VALUE,
                stepsPerPass = 1,
            )
    }
}

/** What of a stream has reached the caller. */
internal class StreamProgress(
    var lastEvent: Long?,
) {
    /** Pieces passed on. */
    var events = 0

    /** A target's own failure, kept in case no other target does better. */
    var failure: WholeAnswer? = null
}
