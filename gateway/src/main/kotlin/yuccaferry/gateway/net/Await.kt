// Waits for Netty's futures from coroutines.
package yuccaferry.gateway.net

import io.netty.channel.ChannelFuture
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/** Waits until the operation has ended; null on success, otherwise its failure. */
internal suspend fun ChannelFuture.awaitFailure(): Throwable? =
    suspendCancellableCoroutine { waiter ->
        addListener { done -> if (waiter.isActive) waiter.resume(done.cause()) }
    }
