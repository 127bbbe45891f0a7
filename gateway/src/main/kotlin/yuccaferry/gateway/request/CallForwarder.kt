// Forwards plain calls: the target's whole answer is collected and checked before any of it goes to the caller.
package yuccaferry.gateway.request

import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.forward.finalAnswer
import yuccaferry.decisions.routing.isIdempotent
import yuccaferry.gateway.net.CallerReply
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.ServerConnection
import yuccaferry.gateway.net.ServerConnector
import yuccaferry.gateway.net.ServerReply
import yuccaferry.gateway.peers.Work
import yuccaferry.gateway.peers.WorkBoard
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.port.SendDetails
import yuccaferry.gateway.view.Target
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/** Forwards safe and unsafe calls. */
internal class CallForwarder(
    private val loop: EventLoop,
    private val connector: ServerConnector,
    private val format: RequestFormat,
    private val selector: TargetSelector,
    private val health: TargetHealth,
    private val repeats: Repeats,
    private val board: WorkBoard,
    private val log: AttemptLog,
) {
    /** Answers [request] through [reply]; returns the outcome for the log. */
    suspend fun forward(
        request: AdmittedRequest,
        reply: CallerReply,
    ): String {
        val ends = mutableListOf<AttemptEnd>()
        val tried = mutableSetOf<TargetId>()
        var sent = 0
        var failure: WholeAnswer? = null
        repeats.recordFirst(request, loop.now())
        while (request.deadline > loop.now()) {
            val target = selector.call(request.service, tried, loop.now()) ?: break
            tried += target.id
            val start = loop.now()
            log.sent(request, target, ends.size + 1)
            val result = attempt(request, target)
            ends += result.end
            log.ended(request, target, result.end, start, loop.now())
            health.record(target, result.end, loop.now())
            if (result.end != AttemptEnd.NotSent) sent++
            val answer = result.answer
            if (answer != null && (answer.status < SERVER_ERROR || !request.route.kind.isIdempotent)) return pass(answer, reply)
            failure = answer ?: failure
            val isUnreached = result.end == AttemptEnd.NotSent
            val mayTryAgain = if (isUnreached) ends.size < MOST_TARGETS else repeats.take(request, result.end, sent, loop.now())
            if (!mayTryAgain) break
        }
        failure?.let { return pass(it, reply) }
        val answer = finalAnswer(ends, RETRY_AFTER_MILLIS)
        format.refuse(reply, request.head.id, answer)
        return "failed:${answer.status}:attempts_${ends.size}"
    }

    private fun pass(
        answer: WholeAnswer,
        reply: CallerReply,
    ): String {
        reply.whole(answer.status, format.returnedHeaders(answer.head.headers), answer.body)
        return "answered:${answer.status}"
    }

    private suspend fun attempt(
        request: AdmittedRequest,
        target: Target,
    ): CallResult {
        val work = Work(target.id, tokens = 0, isLong = false, readMillis = 0.0, start = loop.now())
        board.begin(work)
        var connection: ServerConnection? = null
        try {
            val connectMillis = minOf(CONNECT_MILLIS, request.deadline - loop.now())
            connection = connector.connect(target.address, connectMillis) ?: return CallResult(AttemptEnd.NotSent)
            val remaining = request.deadline - loop.now()
            val details = SendDetails(target, remaining, request.account?.name, null, null, emptyList())
            selector.recordSend(target, loop.now())
            connection.send(request.incoming.toTarget(format, details))
            return withTimeoutOrNull(remaining) { collect(connection, request) } ?: CallResult(AttemptEnd.TimedOut)
        } finally {
            connection?.close()
            board.end(work)
        }
    }

    private suspend fun collect(
        connection: ServerConnection,
        request: AdmittedRequest,
    ): CallResult {
        while (true) {
            val head =
                when (val reply = connection.receive()) {
                    is ServerReply.Head -> reply
                    is ServerReply.Broken -> return CallResult(AttemptEnd.Broken(reply.reason))
                    is ServerReply.Piece, ServerReply.End -> continue
                }
            val stated = format.readAnswer(head.status, head.headers)
            // An answer to another request may precede the one that belongs here; its body is skipped by the loop.
            if (stated.id != null && stated.id != request.head.id) continue
            if (stated.hasNotRun) return CallResult(AttemptEnd.Rejected(head.status))
            val body = collectBody(connection) ?: return CallResult(AttemptEnd.Broken("answer cut"))
            if (!stated.isSigned || stated.isEncoded) return CallResult(AttemptEnd.Broken("answer not the target's own"))
            return CallResult(AttemptEnd.Answered(head.status), WholeAnswer(head, body))
        }
    }

    private class CallResult(
        val end: AttemptEnd,
        val answer: WholeAnswer? = null,
    )

    private companion object {
        const val SERVER_ERROR = 500

        /** Milliseconds for a connection to stand: many round trips between zones, a fraction of a call's timeout. */
        const val CONNECT_MILLIS = 150L

        /** Targets that are tried for one call while none can be reached. */
        const val MOST_TARGETS = 3

        /** Milliseconds after which a refused caller may come back: a few calls' work. */
        const val RETRY_AFTER_MILLIS = 100L
    }
}

/** A target's whole answer. */
internal class WholeAnswer(
    val head: ServerReply.Head,
    val body: ByteArray,
) {
    val status: Int get() = head.status
}

/** The rest of an answer's body; null when it is cut or larger than a plain answer may be. */
internal suspend fun collectBody(connection: ServerConnection): ByteArray? {
    val body = java.io.ByteArrayOutputStream()
    while (body.size() <= MOST_BODY_BYTES) {
        when (val reply = connection.receive()) {
            is ServerReply.Piece -> body.writeBytes(reply.bytes)
            ServerReply.End -> return body.toByteArray()
            is ServerReply.Head, is ServerReply.Broken -> return null
        }
    }
    return null
}

/** Adds what [end] says about [target]. */
internal fun TargetHealth.record(
    target: Target,
    end: AttemptEnd,
    now: MonotonicTime,
) {
    val cost =
        when (end) {
            AttemptEnd.NotSent -> TargetHealth.UNREACHABLE_MILLIS
            is AttemptEnd.Broken, AttemptEnd.TimedOut -> TargetHealth.BROKEN_MILLIS
            is AttemptEnd.Rejected -> TargetHealth.REJECTED_MILLIS
            is AttemptEnd.Answered -> if (end.status >= SERVER_ERROR_STATUS) TargetHealth.FAILED_MILLIS else 0.0
        }
    if (cost > 0) recordFailure(target.id, target.incarnation, cost, now) else recordSuccess(target.id, target.incarnation, now)
}

private const val SERVER_ERROR_STATUS = 500

/** Bytes of the largest plain answer that is collected; it lies in memory until it is whole. */
private const val MOST_BODY_BYTES = 4 * 1_024 * 1_024
