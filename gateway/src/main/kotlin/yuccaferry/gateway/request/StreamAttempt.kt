// One attempt to stream an answer from one target, possibly with others that read parts of the prompt.
package yuccaferry.gateway.request

import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.gateway.net.CallerReply
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.ServerConnection
import yuccaferry.gateway.net.ServerConnector
import yuccaferry.gateway.net.ServerReply
import yuccaferry.gateway.peers.Work
import yuccaferry.gateway.peers.WorkBoard
import yuccaferry.gateway.port.EngineMemory
import yuccaferry.gateway.port.Helper
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.port.ReserveResult
import yuccaferry.gateway.port.SendDetails
import yuccaferry.gateway.view.Target

/** One attempt; used once. */
internal class StreamAttempt(
    private val loop: EventLoop,
    private val connector: ServerConnector,
    private val format: RequestFormat,
    private val selector: TargetSelector,
    private val board: WorkBoard,
    memory: EngineMemory,
    private val request: AdmittedRequest,
    private val placement: Placement,
    figures: EngineFigures,
    private val progress: StreamProgress,
    private val reply: CallerReply,
) {
    private val splitter = EventSplitter()
    private var isFirst = true
    private val mainWork: Work
    private val helperWork: List<Work>
    private val holds: List<MemoryHold>
    private val opened = mutableListOf<MemoryHold>()

    /** When the events of this attempt came. */
    val pace = EventPace(loop.now())

    /** The target at fault when it isn't the main one. */
    var blamed: Target? = null
        private set

    init {
        val parts = placement.helpers.size + 1
        val tokens = request.head.promptTokens
        val placing = selector.placementOf(figures)
        val isLong = placing.isLong(tokens)
        val read = placing.model.readMillis(tokens, parts)
        mainWork = Work(placement.main.id, tokens + request.head.answerTokens, isLong, read, loop.now())
        helperWork = placement.helpers.map { Work(it.target.id, maxOf(it.reservedTokens, tokens / parts), isLong, read, loop.now()) }
        holds =
            placement.helpers.filter { it.reservedTokens > 0 }.map {
                MemoryHold(loop, memory, it.target, "${request.head.id}-${it.target.id}", it.reservedTokens)
            }
    }

    /** Runs the attempt; with [mayWaitLong] a silent target is given the whole time left. */
    suspend fun run(mayWaitLong: Boolean): AttemptEnd {
        (helperWork + mainWork).forEach { board.begin(it) }
        var connection: ServerConnection? = null
        try {
            if (!reserveAll()) return AttemptEnd.NotSent
            val connectMillis = minOf(CONNECT_MILLIS, request.deadline - loop.now())
            connection = connector.connect(placement.main.address, connectMillis) ?: return AttemptEnd.NotSent
            send(connection)
            return receiveAll(connection, mayWaitLong)
        } finally {
            connection?.close()
            opened.forEach { it.close() }
            (helperWork + mainWork).forEach { board.end(it) }
        }
    }

    private suspend fun reserveAll(): Boolean {
        for (hold in holds) {
            if (hold.open() != ReserveResult.HELD) {
                blamed = hold.target
                return false
            }
            opened += hold
        }
        return true
    }

    private fun send(connection: ServerConnection) {
        val now = loop.now()
        val details =
            SendDetails(
                target = placement.main,
                remainingMillis = request.deadline - now,
                account = request.account?.name,
                priority = null,
                resumeAfter = progress.lastEvent,
                helpers = placement.helpers.map { helper -> Helper(helper.target, opened.find { it.target === helper.target }?.id) },
            )
        selector.recordSend(placement.main, now)
        connection.send(request.incoming.toTarget(format, details))
    }

    private suspend fun receiveAll(
        connection: ServerConnection,
        mayWaitLong: Boolean,
    ): AttemptEnd {
        val head =
            when (val first = receive(connection, mayWaitLong)) {
                is ServerReply.Head -> first
                is ServerReply.Broken -> return AttemptEnd.Broken(first.reason)
                is ServerReply.Piece, ServerReply.End -> return AttemptEnd.Broken("body before head")
                null -> return AttemptEnd.TimedOut
            }
        val stated = format.readAnswer(head.status, head.headers)
        return when {
            stated.hasNotRun -> reject(head.status, stated.faultyAddress)
            stated.id != null && stated.id != request.head.id -> AttemptEnd.Broken("answer to another request")
            !stated.isSigned || stated.isEncoded -> AttemptEnd.Broken("answer not the target's own")
            head.status != STATUS_OK -> collectFailure(connection, head)
            else -> passEvents(connection, head, mayWaitLong)
        }
    }

    private fun reject(
        status: Int,
        faultyAddress: String?,
    ): AttemptEnd {
        blamed = placement.helpers.map { it.target }.find { it.hostPort == faultyAddress }
        return AttemptEnd.Rejected(status)
    }

    private suspend fun collectFailure(
        connection: ServerConnection,
        head: ServerReply.Head,
    ): AttemptEnd {
        val body =
            withTimeoutOrNull(request.deadline - loop.now()) { collectBody(connection) }
                ?: return AttemptEnd.Broken("answer cut")
        progress.failure = WholeAnswer(head, body)
        return AttemptEnd.Answered(head.status)
    }

    private suspend fun passEvents(
        connection: ServerConnection,
        head: ServerReply.Head,
        mayWaitLong: Boolean,
    ): AttemptEnd {
        while (true) {
            when (val part = receive(connection, mayWaitLong)) {
                is ServerReply.Piece -> splitter.add(part.bytes)?.let { pass(it, head) }?.let { return it }
                ServerReply.End -> return finish(head)
                is ServerReply.Head -> return AttemptEnd.Broken("second answer")
                is ServerReply.Broken -> return AttemptEnd.Broken(part.reason)
                null -> return AttemptEnd.TimedOut
            }
        }
    }

    /** Passes [events] on; returns the attempt's end when they can't be. */
    private suspend fun pass(
        events: Events,
        head: ServerReply.Head,
    ): AttemptEnd? {
        if (leavesGap(events)) return AttemptEnd.Broken("gap in events")
        pace.record(loop.now())
        if (isFirst) markRead()
        isFirst = false
        if (!reply.isStarted) reply.start(head.status, format.returnedHeaders(head.headers))
        progress.events++
        progress.lastEvent = events.lastId ?: progress.lastEvent
        val taken = withTimeoutOrNull(request.deadline - loop.now()) { reply.piece(events.bytes) }
        return if (taken == null) AttemptEnd.TimedOut else null
    }

    private fun leavesGap(events: Events): Boolean {
        val first = events.firstId ?: return false
        val last = progress.lastEvent ?: return false
        return first != last + 1
    }

    private fun finish(head: ServerReply.Head): AttemptEnd {
        if (splitter.hasPartialEvent) return AttemptEnd.Broken("event cut")
        if (!reply.isStarted) reply.start(head.status, format.returnedHeaders(head.headers))
        reply.finish()
        return AttemptEnd.Answered(head.status)
    }

    private fun markRead() {
        board.markRead(mainWork)
        helperWork.forEach { if (opened.any { hold -> hold.target.id == it.target }) board.markRead(it) else board.end(it) }
    }

    /** The next part of the answer; null when the target is silent for too long, broken when it can't be reached meanwhile. */
    private suspend fun receive(
        connection: ServerConnection,
        mayWaitLong: Boolean,
    ): ServerReply? {
        val now = loop.now()
        val end = if (mayWaitLong) request.deadline else minOf(request.deadline, now + longestSilence())
        var checkMillis = firstCheckMillis()
        while (loop.now() < end) {
            connection.receive(minOf(end - loop.now(), checkMillis))?.let { return it }
            if (loop.now() < end && !isReachable()) return ServerReply.Broken("unreachable while silent")
            checkMillis *= 2
        }
        return null
    }

    /** Whether the target still takes connections; a dead host shows nothing on those that stand. */
    private suspend fun isReachable(): Boolean {
        val connection = connector.connect(placement.main.address, CONNECT_MILLIS) ?: return false
        connection.close()
        return true
    }

    private fun firstCheckMillis(): Long = CHECK_MILLIS + if (isFirst) placement.plan.predictedMillis.toLong() else 0

    /** Milliseconds of silence after which the target is given up; long prompts are waited for longer, since they'd be read again. */
    private fun longestSilence(): Long {
        val predicted = placement.plan.predictedMillis.toLong()
        return if (isFirst) FIRST_SILENCE_MILLIS + FIRST_SILENCE_FACTOR * predicted else GAP_SILENCE_MILLIS + GAP_SILENCE_FACTOR * predicted
    }

    private companion object {
        const val STATUS_OK = 200

        /** Milliseconds for a connection to stand: many round trips between zones, a fraction of the shortest aim. */
        const val CONNECT_MILLIS = 150L

        /**
         * Milliseconds of silence, beyond the prediction for the first event, after which a target is checked: several passes of an
         * engine, and early enough for another one to continue before the caller leaves after two seconds.
         */
        const val CHECK_MILLIS = 500L

        /** Milliseconds beyond the prediction after which a target that sent nothing yet counts as silent. */
        const val FIRST_SILENCE_MILLIS = 2_000L

        /** Times the prediction that a target is waited for. */
        const val FIRST_SILENCE_FACTOR = 4

        /** Milliseconds without an event after which a target counts as silent; callers of short prompts leave after two seconds. */
        const val GAP_SILENCE_MILLIS = 1_300L

        /** Times the prediction that is waited for beyond that. */
        const val GAP_SILENCE_FACTOR = 2
    }
}
