/*
 * Finds the answer to one request among the answers on its connection. A target may send an answer to another request before it, such as a
 * refusal that it has sent before; the id in an answer tells them apart.
 */
package yuccaferry.gateway.request

import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.gateway.net.HttpResponsePart
import yuccaferry.gateway.port.AnswerHead
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.view.Target

/** Result of waiting for the answer to a request. */
internal sealed interface OwnAnswer {
    /** The target answers the request; the body follows [head], which states [stated]. */
    class Begun(
        val head: HttpResponsePart.Head,
        val stated: AnswerHead,
    ) : OwnAnswer

    /** No answer to the request arrived, or one that ends the attempt by its head alone. */
    class None(
        val end: AttemptEnd,
    ) : OwnAnswer
}

/** Reads the answer to [request] from [target]. */
internal class OwnAnswerReader(
    private val format: RequestFormat,
    private val notices: TargetNotices,
    private val request: AdmittedRequest,
    private val target: Target,
) {
    /** Skips answers to other requests; [receive] returns the next part, or null if none arrives in time. */
    suspend fun read(receive: suspend () -> HttpResponsePart?): OwnAnswer {
        var skippedBytes = 0L
        while (skippedBytes <= MAX_SKIPPED_BYTES) {
            when (val part = receive()) {
                is HttpResponsePart.Head -> readHead(part)?.let { return it }
                is HttpResponsePart.Broken -> return OwnAnswer.None(AttemptEnd.Broken(part.reason))
                is HttpResponsePart.Piece -> skippedBytes += part.bytes.size
                HttpResponsePart.End -> skippedBytes += SKIPPED_ANSWER_BYTES
                null -> return OwnAnswer.None(AttemptEnd.TimedOut)
            }
        }
        return OwnAnswer.None(AttemptEnd.Broken("foreign answers exceed $MAX_SKIPPED_BYTES bytes"))
    }

    /** Returns null if [head] begins the answer to another request. */
    private fun readHead(head: HttpResponsePart.Head): OwnAnswer? {
        val stated = format.readAnswer(head.status, head.headers)
        notices.record(target, stated.notice, request.head.id)
        return when {
            stated.ids.any { it != request.head.id } -> null

            // Without an id it may be the refusal of another request, and is no proof that this one hasn't run.
            stated.hasNotRun && stated.ids.isEmpty() -> OwnAnswer.None(AttemptEnd.Broken("refusal without a request id"))

            else -> OwnAnswer.Begun(head, stated)
        }
    }

    private companion object {
        /** Maximum bytes of answers to other requests that are skipped: a few of the usual size. */
        const val MAX_SKIPPED_BYTES = 262_144L

        /** Bytes that a skipped answer counts as, beside its body. */
        const val SKIPPED_ANSWER_BYTES = 256
    }
}
