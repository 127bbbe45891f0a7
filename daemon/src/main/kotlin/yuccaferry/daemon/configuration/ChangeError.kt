// Why a change of configuration failed, as the daemon's use cases see it.
package yuccaferry.daemon.configuration

import yuccaferry.decisions.configuration.ChangeRefusal

/** Why a change was not made. */
sealed interface ChangeError {
    /** The change can't be made; it had no effect. */
    data class Refused(
        val refusal: ChangeRefusal,
    ) : ChangeError

    /** The key-value service can't be reached; the change had no effect. */
    data class Unavailable(
        val message: String,
    ) : ChangeError

    /** The change may have taken effect or may still do so. A repeat with the same attempt id is safe. */
    data class Uncertain(
        val message: String,
    ) : ChangeError
}
