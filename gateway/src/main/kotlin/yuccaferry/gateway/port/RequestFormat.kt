// Port to the headers that describe a request and its outcome, as callers and targets send them.
package yuccaferry.gateway.port

import io.netty.handler.codec.http.HttpHeaders
import yuccaferry.decisions.dispatch.ReportedLoad
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.gateway.net.Header
import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.view.Target
import yuccaferry.model.AccountName
import yuccaferry.model.PromptPart
import yuccaferry.model.RequestId

/**
 * Contents of the headers of a caller's request.
 *
 * @property host value of the `Host` header.
 * @property key the account's API key, or null.
 * @property remainingMillis time for which the caller waits for the answer; null if not stated.
 * @property promptTokens tokens of the prompt; zero if not stated.
 * @property answerTokens maximum tokens of the answer; zero if not stated.
 * @property lastEvent number of the last event that the caller has received, or null.
 * @property sharedParts parts of the prompt in order, without the last one, which no other prompt is expected to have.
 */
class RequestHead(
    val id: RequestId?,
    val host: String,
    val key: String?,
    val remainingMillis: Long?,
    val promptTokens: Long,
    val answerTokens: Long,
    val lastEvent: Long?,
    val sharedParts: List<PromptPart> = emptyList(),
)

/**
 * Another engine that prefills, or holds memory for, a part of the prompt.
 *
 * @property reservation id of the memory reserved there, or null.
 */
class Helper(
    val target: Target,
    val reservation: String?,
)

/**
 * Values that the daemon adds to the headers of a request that it sends to [target].
 *
 * @property priority rank of the request, zero being the most urgent; null to state none.
 * @property resumeAfter number of the event after which the stream resumes, or null to start at the beginning.
 */
class SendDetails(
    val target: Target,
    val remainingMillis: Long,
    val account: AccountName?,
    val priority: Int?,
    val resumeAfter: Long?,
    val helpers: List<Helper>,
)

/**
 * What a target says about new work from this daemon, beside its answer.
 *
 * @property isLeaving whether it is leaving and wants no new work.
 * @property pauseMillis time for which it wants nothing new; null if it doesn't ask for a pause.
 * @property invalidHeader name and value of a header that was ignored because it can't be read; null if there is none.
 */
class TargetNotice(
    val isLeaving: Boolean,
    val pauseMillis: Long?,
    val invalidHeader: String?,
)

/**
 * Contents of the headers of a target's answer.
 *
 * @property ids the request that the answer belongs to; empty if not stated, several if the answer contradicts itself.
 * @property isSigned whether the answer carries the target's proof of origin.
 * @property isEncoded whether the body has a content encoding, so that its bytes are not the target's own.
 * @property hasNotRun whether the target states that it did not run the request.
 * @property faultyAddress `host:port` of the target at fault, if it is another one than the sender; otherwise null.
 * @property notice what the sender says about new work.
 * @property load the sender's load in its own words; null if not stated.
 */
class AnswerHead(
    val status: Int,
    val ids: Set<RequestId>,
    val isSigned: Boolean,
    val isEncoded: Boolean,
    val hasNotRun: Boolean,
    val faultyAddress: String?,
    val notice: TargetNotice,
    val load: ReportedLoad? = null,
) {
    /** The end of an attempt whose target states that it did not run the request. */
    internal val rejection: AttemptEnd
        get() = if (notice.pauseMillis == null) AttemptEnd.Rejected(status) else AttemptEnd.AskedForPause(status)
}

/** Reads and writes the headers of requests and answers. */
interface RequestFormat {
    /** Reads the headers of [request]. */
    fun readRequest(request: IncomingRequest): RequestHead

    /** Returns the headers with which [request] is forwarded to a target. */
    fun forwardedHeaders(
        request: IncomingRequest,
        details: SendDetails,
    ): HttpHeaders

    /** Reads the [status] and [headers] of an answer. */
    fun readAnswer(
        status: Int,
        headers: HttpHeaders,
    ): AnswerHead

    /** Returns those of a target's answer [headers] that are forwarded to the caller. */
    fun returnedHeaders(headers: HttpHeaders): List<Header>

    /** Returns the headers of the daemon's own answer to the request [id]; the caller may retry after [retryAfterMillis]. */
    fun ownHeaders(
        id: RequestId?,
        retryAfterMillis: Long?,
    ): List<Header>
}
