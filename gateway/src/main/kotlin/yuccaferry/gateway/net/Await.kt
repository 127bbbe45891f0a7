// Suspends coroutines on Netty futures.
package yuccaferry.gateway.net

import io.netty.channel.ChannelFuture
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/** Suspends until the operation has completed; returns its failure, or null on success. */
internal suspend fun ChannelFuture.awaitFailure(): Throwable? =
    suspendCancellableCoroutine { waiter ->
        addListener { done -> if (waiter.isActive) waiter.resume(done.cause()) }
    }
