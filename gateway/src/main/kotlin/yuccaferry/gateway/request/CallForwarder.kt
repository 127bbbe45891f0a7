// Forwards plain calls. A target's answer is buffered and checked completely before any of it is sent to the caller.
package yuccaferry.gateway.request

import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.routing.isIdempotent
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.HttpClientConnection
import yuccaferry.gateway.net.HttpClientConnector
import yuccaferry.gateway.net.HttpResponsePart
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
) {
    /** Answers [request] through [reply]; returns the outcome for the log. */
    suspend fun forward(
        request: AdmittedRequest,
        reply: HttpResponseWriter,
    ): String {
        val attempts = tracker.begin(request)
        var failure: BufferedResponse? = null
        while (attempts.hasTime) {
            val target = selector.selectForCall(request.service, attempts.tried, loop.now()) ?: break
            attempts.recordStart(target)
            val result = attempt(request, target)
            attempts.recordEnd(target, result.end)
            val answer = result.answer
            if (answer != null && (answer.status < SERVER_ERROR || !request.route.kind.isIdempotent)) return answer.respond(format, reply)
            failure = answer ?: failure
            if (!attempts.canRetry(MAX_TARGETS)) break
        }
        return failure?.respond(format, reply) ?: attempts.refuse(reply, RETRY_AFTER_MILLIS)
    }

    private suspend fun attempt(
        request: AdmittedRequest,
        target: Target,
    ): CallResult {
        val work = Work(target.id, tokens = 0, isLong = false, prefillMillis = 0.0, start = loop.now())
        workTracker.begin(work)
        var connection: HttpClientConnection? = null
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
            workTracker.end(work)
        }
    }

    private suspend fun collect(
        connection: HttpClientConnection,
        request: AdmittedRequest,
    ): CallResult {
        while (true) {
            val head =
                when (val part = connection.receive()) {
                    is HttpResponsePart.Head -> part
                    is HttpResponsePart.Broken -> return CallResult(AttemptEnd.Broken(part.reason))
                    is HttpResponsePart.Piece, HttpResponsePart.End -> continue
                }
            val stated = format.readAnswer(head.status, head.headers)
            // An answer to another request may precede the expected one; the loop skips its body.
            if (stated.id != null && stated.id != request.head.id) continue
            if (stated.hasNotRun) return CallResult(AttemptEnd.Rejected(head.status))
            val body = collectBody(connection) ?: return CallResult(AttemptEnd.Broken("answer incomplete or too large"))
            if (!stated.isSigned || stated.isEncoded) return CallResult(AttemptEnd.Broken("answer unsigned or encoded"))
            return CallResult(AttemptEnd.Answered(head.status), BufferedResponse(head, body))
        }
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

        /** Milliseconds after which a refused caller may retry: the duration of a few calls. */
        const val RETRY_AFTER_MILLIS = 100L
    }
}
