// Forwards plain calls. A target's answer is buffered and checked completely before any of it is sent to the caller.
package yuccaferry.gateway.request

import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.forward.mayPassOn
import yuccaferry.decisions.forward.retryAfterMillis
import yuccaferry.decisions.routing.isIdempotent
import yuccaferry.gateway.net.BufferBudget
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.HttpClientConnection
import yuccaferry.gateway.net.HttpClientConnector
import yuccaferry.gateway.net.HttpResponseWriter
import yuccaferry.gateway.peers.Work
import yuccaferry.gateway.peers.WorkTracker
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.port.SendDetails
import yuccaferry.gateway.view.Target

/** Forwards safe and unsafe calls. */
internal class CallForwarder(
    private val loop: EventLoop,
    private val connector: HttpClientConnector,
    private val format: RequestFormat,
    private val selector: TargetSelector,
    private val tracker: AttemptTracker,
    private val workTracker: WorkTracker,
    private val notices: TargetNotices,
    private val buffers: BufferBudget,
) {
    /** Answers [request] through [reply]; returns the outcome for the log. */
    suspend fun forward(
        request: AdmittedRequest,
        reply: HttpResponseWriter,
    ): String {
        val share = buffers.share()
        try {
            return forward(request, reply, share)
        } finally {
            // A caller that reads slowly leaves the answer in the memory of this process.
            reply.closeWhenSent(share)
        }
    }

    private suspend fun forward(
        request: AdmittedRequest,
        reply: HttpResponseWriter,
        share: BufferBudget.Share,
    ): String {
        val attempts = tracker.begin(request)
        var failure: BufferedResponse? = null
        while (attempts.hasTime) {
            val target = selector.selectForCall(request.service, attempts.tried, loop.now()) ?: break
            attempts.recordStart(target)
            val result = attempt(request, target, share)
            attempts.recordEnd(target, result.end)
            val answer = result.answer
            if (answer != null && !mayPassOn(answer.status, request.route.kind.isIdempotent)) break
            if (answer != null && (answer.status < SERVER_ERROR || !request.route.kind.isIdempotent)) return answer.respond(format, reply)
            failure = answer ?: failure
            if (!attempts.canRetry(MAX_TARGETS)) break
        }
        if (failure != null) return failure.respond(format, reply)
        val remainingMillis = request.deadline - loop.now()
        val backlogMillis = selector.millisUntilOpen(request.service.name, loop.now()).toDouble()
        val retryAfter = retryAfterMillis(request.head.id, MIN_RETRY_AFTER_MILLIS, backlogMillis, remainingMillis, request.urgency)
        return attempts.refuse(reply, retryAfter)
    }

    private suspend fun attempt(
        request: AdmittedRequest,
        target: Target,
        share: BufferBudget.Share,
    ): CallResult {
        val work = Work(target.id, tokens = 0, isLong = false, prefillMillis = 0.0, start = loop.now())
        workTracker.begin(work)
        var connection: HttpClientConnection? = null
        try {
            val connectMillis = minOf(CONNECT_MILLIS, request.deadline - loop.now())
            connection = connector.connect(target.address, connectMillis) ?: return CallResult(AttemptEnd.NotSent)
            val remaining = request.deadline - loop.now()
            val details = SendDetails(target, remaining, request.account?.name, request.priorityAt(loop.now()), null, emptyList())
            if (!selector.isOpen(target)) return CallResult(AttemptEnd.Withheld)
            selector.recordSend(target, loop.now())
            connection.send(request.incoming.toTarget(format, details))
            return withTimeoutOrNull(remaining) { collect(connection, request, target, share) } ?: CallResult(AttemptEnd.TimedOut)
        } finally {
            connection?.close()
            workTracker.end(work)
        }
    }

    private suspend fun collect(
        connection: HttpClientConnection,
        request: AdmittedRequest,
        target: Target,
        share: BufferBudget.Share,
    ): CallResult {
        val answer =
            when (val own = OwnAnswerReader(format, notices, request, target).read { connection.receive() }) {
                is OwnAnswer.Begun -> own
                is OwnAnswer.None -> return CallResult(own.end)
            }
        val stated = answer.stated
        selector.recordAnswer(target, stated, loop.now())
        if (stated.hasNotRun) return CallResult(stated.rejection)
        val body = collectBody(connection, share) ?: return CallResult(AttemptEnd.Broken("answer incomplete or too large"))
        if (!stated.isSigned || stated.isEncoded) return CallResult(AttemptEnd.Broken("answer unsigned or encoded"))
        return CallResult(AttemptEnd.Answered(answer.head.status), BufferedResponse(answer.head, body))
    }

    private class CallResult(
        val end: AttemptEnd,
        val answer: BufferedResponse? = null,
    )

    private companion object {
        const val SERVER_ERROR = 500

        /** Milliseconds to establish a connection: many round trips between zones, a fraction of a call's timeout. */
        const val CONNECT_MILLIS = 150L

        /** Maximum number of attempts for one call while no target can be reached. */
        const val MAX_TARGETS = 3

        /** Shortest time in milliseconds after which a refused caller may retry: the duration of a few calls. */
        const val MIN_RETRY_AFTER_MILLIS = 100L
    }
}
