// Faults of the TCP proxy.
package yuccaferry.standin.proxy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Direction of bytes through the proxy: up to the target, or down to the client. */
@Serializable
enum class Direction {
    @SerialName("up")
    UP,

    @SerialName("down")
    DOWN,
}

/**
 * Faults of the proxy.
 *
 * @property cut closes all connections, and new ones as soon as the proxy accepts them.
 * @property freeze holds the bytes of both directions and forwards them when it is reset.
 * @property oneWay holds the bytes of this direction only.
 * @property delayMs delay after each read, in each direction.
 * @property cutAfterRequestBytes closes one connection, once, after the proxy has forwarded this many more bytes to targets.
 * @property dropAnswer drops the next bytes of a response and closes their connection, once.
 */
@Serializable
data class ProxyFaults(
    val cut: Boolean = false,
    val freeze: Boolean = false,
    val oneWay: Direction? = null,
    val delayMs: Long = 0,
    val cutAfterRequestBytes: Long? = null,
    val dropAnswer: Boolean = false,
) {
    /** Whether the bytes of [direction] are held. */
    fun holds(direction: Direction): Boolean = freeze || oneWay == direction
}

/**
 * Counts of the proxy.
 *
 * @property bytesHeld bytes that a fault holds now.
 * @property cuts connections closed by a fault.
 */
@Serializable
data class ProxyStats(
    val accepted: Long,
    val open: Int,
    val bytesUp: Long,
    val bytesDown: Long,
    val bytesHeld: Long,
    val cuts: Long,
)
