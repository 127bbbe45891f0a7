// The attempts of one request: who was tried, how each ended, and whether another may follow.
package yuccaferry.gateway.request

import yuccaferry.daemon.port.Field
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.forward.finalAnswer
import yuccaferry.gateway.net.CallerReply
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.view.Target
import yuccaferry.model.TargetId

/** Follows the attempts of requests. */
internal class AttemptTracker(
    private val loop: EventLoop,
    private val format: RequestFormat,
    private val health: TargetHealth,
    private val repeats: Repeats,
    private val log: AttemptLog,
) {
    /** A request of which nothing has been sent yet. */
    fun begin(request: AdmittedRequest): Attempts {
        repeats.recordFirst(request, loop.now())
        return Attempts(request)
    }

    /** The attempts of [request]. */
    inner class Attempts(
        private val request: AdmittedRequest,
    ) {
        private val ends = mutableListOf<AttemptEnd>()
        private var start = loop.now()

        /** Targets that failed. */
        val tried = mutableSetOf<TargetId>()

        /** Attempts of which something reached a target. */
        val sent: Int get() = ends.count { it != AttemptEnd.NotSent }

        /** Whether time is left. */
        val hasTime: Boolean get() = request.deadline > loop.now()

        /** An attempt at [target] begins, chosen by [inputs]. */
        fun began(
            target: Target,
            vararg inputs: Field,
        ) {
            start = loop.now()
            log.sent(request, target, ends.size + 1, *inputs)
        }

        /** The attempt at [target] ended; [blamed] is the target at fault if it failed. */
        fun ended(
            target: Target,
            end: AttemptEnd,
            blamed: Target = target,
            vararg details: Field,
        ) {
            ends += end
            tried += blamed.id
            log.ended(request, target, end, start, loop.now(), *details)
            health.record(blamed, end, loop.now())
        }

        /** Whether another attempt may follow; [mostUnreached] bounds the targets that are tried while none can be reached. */
        fun mayTryAgain(mostUnreached: Int): Boolean {
            val last = ends.last()
            return if (last == AttemptEnd.NotSent) ends.size < mostUnreached else repeats.take(request, last, sent, loop.now())
        }

        /** Tells the caller what the attempts prove; returns the outcome for the log. */
        fun refuse(
            reply: CallerReply,
            retryAfterMillis: Long,
        ): String {
            val answer = finalAnswer(ends, retryAfterMillis)
            format.refuse(reply, request.head.id, answer)
            return "failed:${answer.status}:attempts_${ends.size}"
        }
    }
}
