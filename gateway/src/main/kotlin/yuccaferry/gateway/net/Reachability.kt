// Tells from an attempt to connect whether a host and its process still run.
package yuccaferry.gateway.net

import io.netty.channel.ConnectTimeoutException
import java.net.ConnectException
import java.net.SocketException

/** Result of an attempt to connect to a server. */
enum class Reachability {
    /** The server accepted the connection, or accepted and reset it, as one does that is at its limit of connections. */
    REACHABLE,

    /** The host answers, and nothing listens there: the process has ended, or accepts no further connections. */
    REFUSED,

    /** Nothing answers. */
    UNREACHABLE,
}

/** Returns what the [failure] of an attempt to connect shows; null stands for success. */
internal fun reachabilityOf(failure: Throwable?): Reachability =
    when {
        failure == null -> Reachability.REACHABLE
        failure is ConnectTimeoutException -> Reachability.UNREACHABLE
        failure is ConnectException -> Reachability.REFUSED
        failure is SocketException && "reset" in failure.message.orEmpty() -> Reachability.REACHABLE
        else -> Reachability.UNREACHABLE
    }
