// Port to the headers in which callers and targets state what a request is and how it ended.
package yuccaferry.gateway.port

import io.netty.handler.codec.http.HttpHeaders
import yuccaferry.gateway.net.Header
import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.view.Target
import yuccaferry.model.AccountName
import yuccaferry.model.RequestId

/**
 * What a caller states about its request.
 *
 * @property host value of the `Host` header.
 * @property key the account's key, or null.
 * @property remainingMillis how long the caller waits; null when it doesn't say.
 * @property promptTokens tokens of the prompt, zero when it doesn't say.
 * @property answerTokens most tokens of the answer, zero when it doesn't say.
 * @property lastEvent number of the last event that the caller has, or null.
 */
class RequestHead(
    val id: RequestId?,
    val host: String,
    val key: String?,
    val remainingMillis: Long?,
    val promptTokens: Long,
    val answerTokens: Long,
    val lastEvent: Long?,
)

/**
 * A part of a prompt's memory or reading at another engine.
 *
 * @property reservation id of the memory set aside there, or null.
 */
class Helper(
    val target: Target,
    val reservation: String?,
)

/**
 * What the daemon adds to a request that it sends to [target].
 *
 * @property priority urgency from 0, the most urgent, to 9.
 * @property resumeAfter number of the last event that the caller has, or null for the start.
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
 * What a target states about its answer.
 *
 * @property id the request that the answer belongs to; null when the target doesn't say.
 * @property isSigned whether the answer carries the target's proof that it made it.
 * @property isEncoded whether the body is not the target's own bytes.
 * @property hasNotRun whether the target states that it did not run the request.
 * @property faultyAddress address of the target to blame, when it isn't the one that answers.
 */
class AnswerHead(
    val status: Int,
    val id: RequestId?,
    val isSigned: Boolean,
    val isEncoded: Boolean,
    val hasNotRun: Boolean,
    val faultyAddress: String?,
)

/** Reads and writes the headers. */
interface RequestFormat {
    /** What [request] states. */
    fun readRequest(request: IncomingRequest): RequestHead

    /** The headers of [request] as it goes to a target. */
    fun forwardedHeaders(
        request: IncomingRequest,
        details: SendDetails,
    ): HttpHeaders

    /** What an answer with [status] and [headers] states. */
    fun readAnswer(
        status: Int,
        headers: HttpHeaders,
    ): AnswerHead

    /** The headers of a target's answer that go back to the caller. */
    fun returnedHeaders(headers: HttpHeaders): List<Header>

    /** The headers of the daemon's own answer to the request [id]; the caller may come back after [retryAfterMillis]. */
    fun ownHeaders(
        id: RequestId?,
        retryAfterMillis: Long?,
    ): List<Header>
}
