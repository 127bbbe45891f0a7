// Tracks the attempts of a request: the targets tried, how each attempt ended, and whether another may follow.
package yuccaferry.gateway.request

import yuccaferry.daemon.port.Field
import yuccaferry.decisions.dispatch.ReportedLoad
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.forward.finalAnswer
import yuccaferry.decisions.forward.wasSent
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.HttpResponseWriter
import yuccaferry.gateway.peers.TargetKnowledge
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.view.Target
import yuccaferry.model.TargetId

/** Tracks the attempts of requests. */
internal class AttemptTracker(
    private val loop: EventLoop,
    private val format: RequestFormat,
    private val targets: TargetKnowledge,
    private val retryPolicy: RetryPolicy,
    private val log: AttemptLog,
) {
    /** Starts to track [request], of which nothing has been sent yet. */
    fun begin(request: AdmittedRequest): Attempts {
        retryPolicy.recordFirst(request, loop.now())
        return Attempts(request).also { request.attempts = it }
    }

    /** Attempts to forward [request]. */
    inner class Attempts(
        private val request: AdmittedRequest,
    ) {
        private val ends = mutableListOf<AttemptEnd>()
        private var start = loop.now()
        private var isUnderWay = false
        private var isTimed = false

        /** The target of each attempt so far; the helper instead if the helper was at fault. */
        val tried = mutableSetOf<TargetId>()

        /** Number of attempts in which something was sent to a target. */
        val sent: Int get() = ends.count { it.wasSent }

        /** Whether the request's deadline has not passed. */
        val hasTime: Boolean get() = request.deadline > loop.now()

        /** Records that an attempt at [target] begins; [inputs] are logged as the reasons for the choice. */
        fun recordStart(
            target: Target,
            vararg inputs: Field,
        ) {
            start = loop.now()
            isUnderWay = true
            isTimed = false
            log.logStart(request, target, ends.size + 1, *inputs)
        }

        /**
         * Records that the first event from [target] arrived; [predictedMillis] is the time that was predicted for it, and [load] what the
         * target states of its load.
         */
        fun recordFirstEvent(
            target: Target,
            predictedMillis: Double,
            load: ReportedLoad?,
        ) {
            val now = loop.now()
            isTimed = true
            targets.paces.recordFirstEvent(target, predictedMillis, start, now)
            targets.health.recordFirstEvent(target.id, target.incarnation, predictedMillis, (now - start).toDouble(), now, load)
        }

        /** Records that the attempt at [target] ended; [faultyTarget] is the target at fault if it failed. */
        fun recordEnd(
            target: Target,
            end: AttemptEnd,
            faultyTarget: Target = target,
            vararg details: Field,
        ) {
            ends += end
            isUnderWay = false
            tried += faultyTarget.id
            log.logEnd(request, target, end, start, loop.now(), *details)
            targets.paces.recordEnd(faultyTarget, end, isTimed, start, loop.now())
            targets.health.record(faultyTarget, end, loop.now())
        }

        /**
         * Returns whether another attempt may follow. If the last attempt sent nothing, the only limit is [maxUnreachable], the number of
         * attempts; otherwise the retry is taken from the retry budget.
         */
        fun canRetry(maxUnreachable: Int): Boolean {
            val last = ends.last()
            return if (!last.wasSent) ends.size < maxUnreachable else retryPolicy.takeRetry(request, last, sent, loop.now())
        }

        /** Answers the caller before the request is done, because the daemon exits; returns the outcome for the log. */
        fun refuseAtExit(reply: HttpResponseWriter): String {
            if (isUnderWay) ends += AttemptEnd.Broken("the daemon exits")
            return refuse(reply, retryAfterMillis = 0) + ":exit"
        }

        /** Answers the caller with the status that follows from the attempts; returns the outcome for the log. */
        fun refuse(
            reply: HttpResponseWriter,
            retryAfterMillis: Long,
        ): String {
            val answer = finalAnswer(ends, retryAfterMillis)
            format.refuse(reply, request.head.id, answer)
            return "failed:${answer.status}:attempts_${ends.size}"
        }
    }
}
