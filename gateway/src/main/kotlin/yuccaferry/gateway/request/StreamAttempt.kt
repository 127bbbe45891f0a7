// Streams an answer from one target, possibly with helpers that prefill parts of the prompt.
package yuccaferry.gateway.request

import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.dispatch.ReportedLoad
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.forward.firstEventTimeoutMillis
import yuccaferry.decisions.forward.mayPassOn
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.decisions.routing.isIdempotent
import yuccaferry.gateway.net.BufferBudget
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.HttpClientConnection
import yuccaferry.gateway.net.HttpClientConnector
import yuccaferry.gateway.net.HttpResponsePart
import yuccaferry.gateway.net.HttpResponseWriter
import yuccaferry.gateway.peers.Work
import yuccaferry.gateway.peers.WorkTracker
import yuccaferry.gateway.port.AnswerHead
import yuccaferry.gateway.port.Helper
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.port.ReserveResult
import yuccaferry.gateway.port.SendDetails
import yuccaferry.gateway.view.Target
import yuccaferry.model.MonotonicTime

/** One attempt to stream an answer; [run] is called once. */
internal class StreamAttempt(
    private val loop: EventLoop,
    private val connector: HttpClientConnector,
    private val format: RequestFormat,
    private val selector: TargetSelector,
    private val workTracker: WorkTracker,
    private val memory: MemoryReservations,
    private val notices: TargetNotices,
    private val telemetry: Telemetry,
    private val request: AdmittedRequest,
    private val placement: Placement,
    figures: EngineFigures,
    private val progress: StreamProgress,
    private val reply: HttpResponseWriter,
    private val share: BufferBudget.Share,
    private val onFirstEvent: (ReportedLoad?) -> Unit,
    private val onBegun: () -> Unit,
) {
    private val splitter = EventSplitter()

    /** Whether the target may go on with the request after this attempt. */
    private var isAbandoned = false

    private var load: ReportedLoad? = null

    /** Time of the last event, or of the request before the first. */
    private var lastProgress = loop.now()

    /** Bytes since the last event with a number. */
    private var unnumberedBytes = 0L

    /** Number of blocks of events that have arrived. */
    private var blocks = 0
    private val isFirst get() = blocks == 0

    /** Whether an event has arrived; comments are none. */
    private var hasEvents = false
    private var connection: HttpClientConnection? = null
    private val mainWork: Work
    private val helperWork: List<Work>
    private val reservations: List<MemoryReservation>
    private val opened = mutableListOf<MemoryReservation>()

    private val timing = EventTiming(loop.now())

    /** Whether more has arrived than the events of the target's first pass, in which it may crash under some prompts. */
    val hasBegun: Boolean get() = blocks >= BEGUN_BLOCKS

    /** The target at fault if it is a helper; otherwise null. */
    var faultyTarget: Target? = null
        private set

    init {
        val parts = placement.helpers.size + 1
        val tokens = request.head.promptTokens
        val streamPlacement = selector.streamPlacementFor(figures)
        val isLong = streamPlacement.isLong(tokens)
        val prefillMillis = streamPlacement.model.prefillMillis(tokens, parts)
        mainWork = Work(placement.main.id, tokens + request.head.answerTokens, isLong, prefillMillis, loop.now())
        helperWork =
            placement.helpers.map { Work(it.target.id, maxOf(it.reservedTokens, tokens / parts), isLong, prefillMillis, loop.now()) }
        reservations =
            placement.helpers.filter { it.reservedTokens > 0 }.map {
                memory.create(request.head.id, it.target, it.reservedTokens, ::lastSign)
            }
    }

    /** Runs the attempt; with [waitUntilDeadline], the time without events is limited only by the request's deadline. */
    suspend fun run(waitUntilDeadline: Boolean): AttemptEnd {
        (helperWork + mainWork).forEach { workTracker.begin(it) }
        try {
            if (!reserveAll()) return AttemptEnd.NotSent
            val connectMillis = minOf(CONNECT_MILLIS, request.deadline - loop.now())
            val established = connector.connect(placement.main.address, connectMillis) ?: return AttemptEnd.NotSent
            connection = established
            (placement.helpers.map { it.target } + placement.main).find { !selector.isOpen(it) }?.let {
                faultyTarget = it
                return AttemptEnd.Withheld
            }
            send(established)
            return receiveAll(established, waitUntilDeadline).also { isAbandoned = it is AttemptEnd.TimedOut }
        } finally {
            connection?.close()
            opened.forEach { it.close() }
            helperWork.forEach { workTracker.end(it) }
            if (isAbandoned) workTracker.endLater(mainWork, loop.scope) else workTracker.end(mainWork)
        }
    }

    /** Returns when events arrived, and the load that the target stated as `running/waiting/slots`, for the log. */
    fun details(): Array<Field> = timing.fields() + Field("load", load?.let { "${it.running}/${it.waiting}/${it.slots}" })

    private suspend fun reserveAll(): Boolean {
        for (reservation in reservations) {
            if (memory.open(reservation) != ReserveResult.HELD) {
                faultyTarget = reservation.target
                return false
            }
            opened += reservation
        }
        return true
    }

    /** Returns the last time at which the request is known to have run at the main target; null if that isn't known. */
    private suspend fun lastSign(): MonotonicTime? {
        if (!isFirst) return connection?.lastArrival
        // An engine sends nothing while it prefills, and its helpers don't report the memory as used before they hold their parts.
        val checked = loop.now()
        return checked.takeIf { memory.isRunning(placement.main) }
    }

    private fun send(connection: HttpClientConnection) {
        val now = loop.now()
        val details =
            SendDetails(
                target = placement.main,
                remainingMillis = request.deadline - now,
                account = request.account?.name,
                priority = request.priorityAt(now),
                resumeAfter = progress.lastEvent,
                helpers = placement.helpers.map { helper -> Helper(helper.target, opened.find { it.target === helper.target }?.id) },
            )
        selector.recordSend(placement.main, now)
        lastProgress = now
        connection.send(request.incoming.toTarget(format, details))
    }

    private suspend fun receiveAll(
        connection: HttpClientConnection,
        waitUntilDeadline: Boolean,
    ): AttemptEnd {
        val answer =
            when (val own = OwnAnswerReader(format, notices, request, placement.main).read { receive(connection, waitUntilDeadline) }) {
                is OwnAnswer.Begun -> own
                is OwnAnswer.None -> return own.end
            }
        val stated = answer.stated
        selector.recordAnswer(placement.main, stated, loop.now())
        load = stated.load
        return when {
            stated.hasNotRun -> reject(stated)
            !stated.isSigned || stated.isEncoded -> AttemptEnd.Broken("answer unsigned or encoded")
            answer.head.status != STATUS_OK -> collectFailure(connection, answer.head)
            else -> forwardStream(connection, answer.head, waitUntilDeadline)
        }
    }

    private fun reject(stated: AnswerHead): AttemptEnd {
        faultyTarget = placement.helpers.map { it.target }.find { it.hostPort == stated.faultyAddress }
        return stated.rejection
    }

    private suspend fun collectFailure(
        connection: HttpClientConnection,
        head: HttpResponsePart.Head,
    ): AttemptEnd {
        val body =
            withTimeoutOrNull(request.deadline - loop.now()) { collectBody(connection, share) }
                ?: return AttemptEnd.Broken("answer incomplete or too large")
        if (mayPassOn(head.status, request.route.kind.isIdempotent)) progress.failure = BufferedResponse(head, body)
        return AttemptEnd.Answered(head.status)
    }

    private suspend fun forwardStream(
        connection: HttpClientConnection,
        head: HttpResponsePart.Head,
        waitUntilDeadline: Boolean,
    ): AttemptEnd {
        while (true) {
            when (val part = receive(connection, waitUntilDeadline)) {
                is HttpResponsePart.Piece -> forwardPiece(part, head)?.let { return it }
                HttpResponsePart.End -> return finish(head)
                is HttpResponsePart.Head -> return AttemptEnd.Broken("expected body, found a second response")
                is HttpResponsePart.Broken -> return AttemptEnd.Broken(part.reason)
                null -> return AttemptEnd.TimedOut
            }
        }
    }

    /** Forwards the events that [piece] completes; returns the attempt's end if it must end. */
    private suspend fun forwardPiece(
        piece: HttpResponsePart.Piece,
        head: HttpResponsePart.Head,
    ): AttemptEnd? {
        unnumberedBytes += piece.bytes.size
        val events = splitter.add(piece.bytes)
        if (splitter.isTooLong) return AttemptEnd.Broken("event exceeds ${EventSplitter.MAX_EVENT_BYTES} bytes")
        if (events?.ids?.any { it != null } == true) unnumberedBytes = 0
        if (unnumberedBytes > EventSplitter.MAX_EVENT_BYTES) return AttemptEnd.Broken("$unnumberedBytes bytes of events without a number")
        return events?.let { forwardEvents(it, head) }
    }

    /** Forwards [events] to the caller; returns the attempt's end if they can't be forwarded. */
    private suspend fun forwardEvents(
        events: Events,
        head: HttpResponsePart.Head,
    ): AttemptEnd? {
        if (leavesGap(events)) return AttemptEnd.Broken("gap in event numbers")
        lastProgress = loop.now()
        selector.recordActivity(placement.main, lastProgress)
        timing.record(lastProgress)
        blocks++
        if (blocks == 1) {
            markPrefilled()
            onFirstEvent(load)
        }
        if (blocks == BEGUN_BLOCKS) onBegun()
        if (!reply.isStarted) reply.start(head.status, format.returnedHeaders(head.headers))
        hasEvents = hasEvents || events.ids.isNotEmpty()
        progress.record(events)
        val taken = withTimeoutOrNull(request.deadline - loop.now()) { reply.write(events.bytes) }
        // While the caller doesn't read, the target isn't read either: that time is no silence of the target.
        lastProgress = loop.now()
        return if (taken == null) AttemptEnd.TimedOut else null
    }

    private fun leavesGap(events: Events): Boolean {
        val last = progress.lastEvent
        if (last == null || events.ids.isEmpty()) return false
        // Nothing but its number shows that another target's first event is the next one.
        val first = events.firstId ?: return !hasEvents
        return first != last + 1
    }

    private fun finish(head: HttpResponsePart.Head): AttemptEnd {
        if (splitter.hasPartialEvent) return AttemptEnd.Broken("stream ended within an event")
        if (!hasEvents && (reply.isStarted || !head.statesLength)) return AttemptEnd.Broken("stream ended before its first event")
        if (!reply.isStarted) reply.start(head.status, format.returnedHeaders(head.headers))
        reply.finish()
        return AttemptEnd.Answered(head.status)
    }

    private fun markPrefilled() {
        workTracker.markPrefilled(mainWork)
        helperWork.forEach {
            if (opened.any { reservation -> reservation.target.id == it.target }) workTracker.markPrefilled(it) else workTracker.end(it)
        }
    }

    /**
     * Returns the next part of the answer, null if none arrives in time, or [HttpResponsePart.Broken] if the target becomes unreachable in
     * the meantime.
     */
    private suspend fun receive(
        connection: HttpClientConnection,
        waitUntilDeadline: Boolean,
    ): HttpResponsePart? {
        val check = SilenceCheck(connector, telemetry, request, placement.main, firstCheckMillis())
        while (loop.now() < timeout(waitUntilDeadline)) {
            connection.receive(minOf(timeout(waitUntilDeadline) - loop.now(), check.pauseMillis))?.let { return it }
            if (loop.now() < timeout(waitUntilDeadline) && check.hasFailed()) {
                return connection.receive(0) ?: HttpResponsePart.Broken("unreachable while silent")
            }
        }
        return null
    }

    /** Returns the time until which the next event is waited for. Bytes that complete no event don't extend it. */
    private fun timeout(waitUntilDeadline: Boolean): MonotonicTime =
        if (waitUntilDeadline) request.deadline else minOf(request.deadline, lastProgress + eventTimeoutMillis())

    private fun firstCheckMillis(): Long = REACHABILITY_CHECK_MILLIS + if (isFirst) placement.plan.predictedMillis.toLong() else 0

    private fun eventTimeoutMillis(): Long {
        val predicted = placement.plan.predictedMillis.toLong()
        if (isFirst) return firstEventTimeoutMillis(predicted, request.route, selector.isActiveSince(placement.main, lastProgress))
        return GAP_TIMEOUT_MILLIS + GAP_TIMEOUT_FACTOR * predicted
    }

    private companion object {
        const val STATUS_OK = 200

        /** Blocks of events after which an answer has begun: one more than the target's first pass brings. */
        const val BEGUN_BLOCKS = 2

        /** Milliseconds to establish a connection: many round trips between zones, a fraction of the shortest target latency. */
        const val CONNECT_MILLIS = 150L

        /**
         * Milliseconds without a part, or beyond the predicted time of the first event, after which the target's reachability is checked:
         * several passes of an engine, and early enough for another engine to continue before callers give up after two seconds.
         */
        const val REACHABILITY_CHECK_MILLIS = 500L

        /** Constant part of the timeout between events, in ms; callers with short prompts give up after two seconds. */
        const val GAP_TIMEOUT_MILLIS = 1_300L

        /** Multiple of the predicted time that is added to the timeout between events. */
        const val GAP_TIMEOUT_FACTOR = 2
    }
}
