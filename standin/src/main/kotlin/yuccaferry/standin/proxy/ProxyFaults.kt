// Faults of the TCP proxy.
package yuccaferry.standin.proxy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Direction of bytes through the proxy. */
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
 * @property cut closes all connections, and new ones as soon as they are accepted.
 * @property freeze holds the bytes of both directions; they go on when it is reset.
 * @property oneWay holds the bytes of this direction only.
 * @property delayMs added to each read in each direction.
 * @property cutAfterRequestBytes closes one connection, once, after this many more bytes went to the target.
 * @property dropAnswer closes one connection, once, when the next bytes of an answer arrive.
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
