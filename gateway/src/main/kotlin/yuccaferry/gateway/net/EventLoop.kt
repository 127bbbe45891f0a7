// Runs a gateway's I/O and coroutines on a single thread, so that its state needs no locks.
package yuccaferry.gateway.net

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import yuccaferry.model.MonotonicTime
import java.util.concurrent.TimeUnit
import kotlin.coroutines.EmptyCoroutineContext

/**
 * A single-threaded event loop; all other types of this package are confined to it.
 *
 * @param failures handles failures of coroutines that nothing else handles; if null, the thread's handler does.
 */
class EventLoop(
    failures: CoroutineExceptionHandler? = null,
) {
    internal val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** Coroutines of this scope run on the event loop's thread. */
    val scope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher() + (failures ?: EmptyCoroutineContext))

    /** Stops the thread; coroutines that haven't completed are not resumed. */
    fun close() {
        group.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Returns the current time of the monotonic clock. */
    fun now() = MonotonicTime(System.nanoTime() / NANOS_PER_MILLI)

    private companion object {
        /** Milliseconds for which the shutdown waits for running tasks. */
        const val CLOSE_MILLIS = 100L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
