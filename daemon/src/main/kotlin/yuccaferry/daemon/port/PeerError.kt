// Errors shared by all ports to other daemons.
package yuccaferry.daemon.port

/** Reason why a peer gave no answer. */
sealed interface PeerError {
    val message: String

    /** The peer could not be reached or did not answer in time; it may still have handled the request. */
    data class Unreachable(
        override val message: String,
    ) : PeerError

    /** The peer refused the request. */
    data class Refused(
        override val message: String,
    ) : PeerError
}
