// Errors of a configuration change, as the daemon's use cases return them.
package yuccaferry.daemon.configuration

import yuccaferry.decisions.configuration.ChangeRefusal

/** Reason why a change was not made or may not have been made. */
sealed interface ChangeError {
    /** The change is not possible; it had no effect. */
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
