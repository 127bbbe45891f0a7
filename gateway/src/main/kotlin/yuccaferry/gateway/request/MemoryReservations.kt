// Creates reservations of memory, each under an id of its own, and keeps track of those that are not released yet.
package yuccaferry.gateway.request

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.port.EngineMemory
import yuccaferry.gateway.port.ReserveResult
import yuccaferry.gateway.view.Target
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import kotlin.random.Random

/** Reservations of memory by this daemon. */
internal class MemoryReservations(
    private val loop: EventLoop,
    private val memory: EngineMemory,
    private val random: Random,
) {
    private val unreleased = LinkedHashSet<MemoryReservation>()

    /** Whether this daemon has nothing to release. */
    val isEmpty: Boolean get() = unreleased.isEmpty()

    /**
     * Returns a new reservation of [tokens] at [target] for one attempt of [request]; see [MemoryReservation] for [lastSign]. Its id
     * differs from all others, so that an order for an earlier attempt, executed late, can't affect it.
     */
    fun create(
        request: RequestId?,
        target: Target,
        tokens: Long,
        lastSign: suspend () -> MonotonicTime?,
    ): MemoryReservation {
        val id = "${request?.value}-${target.id.value}-${random.nextInt().toUInt().toString(HEX)}"
        lateinit var reservation: MemoryReservation
        reservation = MemoryReservation(loop, memory, target, id, tokens, onReleased = { unreleased -= reservation }, lastSign = lastSign)
        return reservation
    }

    /** Reserves the memory of [reservation]; see [MemoryReservation.open]. */
    suspend fun open(reservation: MemoryReservation): ReserveResult {
        unreleased += reservation
        return reservation.open()
    }

    /** Releases all memory, also of requests that still run, and waits for the answers for up to [millis]. */
    suspend fun closeAll(millis: Long) {
        unreleased.toList().forEach { it.close() }
        withTimeoutOrNull(millis) { while (!isEmpty) delay(POLL_MILLIS) }
    }

    /** Returns whether [target] answers now, in the run that the platform lists. */
    suspend fun isRunning(target: Target): Boolean = memory.isRunning(target)

    private companion object {
        const val HEX = 16

        /** Milliseconds between checks whether the answers have arrived: a round trip between zones. */
        const val POLL_MILLIS = 5L
    }
}
