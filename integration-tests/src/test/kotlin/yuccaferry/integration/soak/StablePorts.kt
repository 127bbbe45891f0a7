// Ports on which processes can be started again: below the range from which the system takes the ports of outgoing connections.
package yuccaferry.integration.soak

import java.io.IOException
import java.net.DatagramSocket
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

internal object StablePorts {
    private val range = 10_000..32_000
    private val next = AtomicInteger(Random.nextInt(range.first, range.last))

    /** Returns a port that was free for TCP and UDP a moment ago and is returned once only. */
    fun take(): Int {
        repeat(range.count()) {
            val port = next.getAndUpdate { if (it >= range.last) range.first else it + 1 }
            if (isFree(port)) return port
        }
        error("no free port in $range")
    }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port).close()
            DatagramSocket(port).close()
            true
        } catch (taken: IOException) {
            false
        }
}
