// Port to the platform's lagging list of live and leaving target instances.
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result
import yuccaferry.model.Target

/** The list could not be read; the last one read stays in use. */
data class InstanceListError(
    val message: String,
)

/** The platform's list of target instances. */
interface InstanceList {
    /** Reads the whole list; it may lag behind the actual instances by seconds. */
    suspend fun read(): Result<List<Target>, InstanceListError>
}
