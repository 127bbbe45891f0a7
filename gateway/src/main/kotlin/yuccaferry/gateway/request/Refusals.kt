// The daemon's own answers to requests that are not forwarded.
package yuccaferry.gateway.request

import yuccaferry.decisions.forward.FinalAnswer
import yuccaferry.gateway.net.HttpResponseWriter
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.model.RequestId

/** Answers [reply] with [status]; the caller may retry after [retryAfterMillis]. */
internal fun RequestFormat.refuse(
    reply: HttpResponseWriter,
    id: RequestId?,
    status: Int,
    retryAfterMillis: Long? = null,
) = reply.send(status, ownHeaders(id, retryAfterMillis), ByteArray(0))

/** Answers [reply] with [answer]. */
internal fun RequestFormat.refuse(
    reply: HttpResponseWriter,
    id: RequestId?,
    answer: FinalAnswer,
) {
    val retryAfter =
        when (answer) {
            is FinalAnswer.NotRun -> answer.retryAfterMillis
            FinalAnswer.TimedOut, FinalAnswer.Unknown -> null
        }
    refuse(reply, id, answer.status, retryAfter)
}
