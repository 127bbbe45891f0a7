// Port to plain services: one HTTP exchange, with failures that say whether the request may have run.
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result
import yuccaferry.model.RequestId
import yuccaferry.model.Target

/** One header line. */
data class Header(
    val name: String,
    val value: String,
)

/**
 * One call to a plain service.
 *
 * @property path path and query below the service's root, starting with a slash.
 * @property idempotencyKey passed on to the service; null for idempotent calls.
 */
class ServiceCall(
    val request: RequestId,
    val method: String,
    val path: String,
    val headers: List<Header>,
    val body: ByteArray,
    val timeLeftMillis: Long,
    val idempotencyKey: String? = null,
    val traceparent: String? = null,
)

/** The complete answer of a plain service. */
class ServiceAnswer(
    val status: Int,
    val headers: List<Header>,
    val body: ByteArray,
)

/** Calls to plain services, which are those other than model engines. */
interface ServiceClient {
    /** Makes [call] once, without retries. An answer of any status is a success here. */
    suspend fun call(
        target: Target,
        call: ServiceCall,
    ): Result<ServiceAnswer, TargetError>
}
