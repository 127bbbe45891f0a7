/*
 * Reserves memory of an engine for one attempt. A reservation never outlasts the last sign that a request uses the memory by more than
 * a fixed time, so that the memory is free again soon after the request ends, whether or not this daemon notices the end or still runs.
 * An order without an answer may be executed seconds later, after the release, so the memory is released again until that can't happen
 * anymore.
 */
package yuccaferry.gateway.request

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.port.EngineMemory
import yuccaferry.gateway.port.MemoryUse
import yuccaferry.gateway.port.ReserveResult
import yuccaferry.gateway.view.Target
import yuccaferry.model.MonotonicTime

/**
 * Timing of reservations, in milliseconds.
 *
 * @property hold longest time for which memory stays reserved after the last sign of its use: below the 4 s after which memory without a
 * request counts as leaked, by the time that an order takes.
 * @property reportAge longest time for which an engine reports the use of memory after its end: the delay of its reports, and the 1.5 s
 * after which it gives up a request on another engine that is silent.
 * @property renewalMargin time before its end at which a reservation is renewed: longer than most pauses of this process.
 * @property checkPause pause before the next check of the use, if none was seen or the renewal got no answer, and the least time by which
 * a renewal must extend the reservation.
 * @property retryPause pause before an unanswered release is repeated.
 * @property lateOrder longest time after which an engine may still execute an order that it did not answer.
 * @property lateReleaseInterval time between releases while an unanswered reservation may still be executed; well below the time after
 * which memory counts as leaked.
 */
internal data class ReservationTiming(
    val hold: Long = 3_500,
    val reportAge: Long = 1_900,
    val renewalMargin: Long = 1_800,
    val checkPause: Long = 250,
    val retryPause: Long = 250,
    val lateOrder: Long = 12_500,
    val lateReleaseInterval: Long = 1_500,
)

/**
 * Reservation of memory for [tokens] tokens at [target] under [id].
 *
 * @param onReleased called once nothing is reserved under [id] anymore, as far as this daemon can find out.
 * @param lastSign returns the last time at which the request that uses the memory is known to have run; null if that isn't known.
 */
internal class MemoryReservation(
    private val loop: EventLoop,
    private val memory: EngineMemory,
    val target: Target,
    val id: String,
    private val tokens: Long,
    private val timing: ReservationTiming = ReservationTiming(),
    private val onReleased: () -> Unit = {},
    private val lastSign: suspend () -> MonotonicTime? = { null },
) {
    private var renewal: Job? = null
    private var isReleasing = false
    private var releaseFailure: Throwable? = null

    /** Time until which an unanswered reservation may still be executed. */
    private var unsettledUntil = loop.now()

    /** Reserves the memory; [close] is needed only if the result is [ReserveResult.HELD]. */
    suspend fun open(): ReserveResult {
        var result = ReserveResult.UNKNOWN
        try {
            result = reserve(timing.hold)
        } finally {
            if (result == ReserveResult.UNKNOWN) releaseInBackground()
            if (result == ReserveResult.REFUSED) onReleased()
        }
        if (result == ReserveResult.HELD) renewal = loop.scope.launch { renew() }
        return result
    }

    /** Stops the renewal and releases the memory in the background, if that hasn't begun. */
    fun close() {
        renewal?.cancel()
        if (!isReleasing) releaseInBackground()
    }

    /** Renews the reservation until it expires because nothing uses the memory, or until the engine refuses. */
    private suspend fun renew() {
        var expiry = loop.now() + timing.hold
        var pause = pauseAfter(timing.hold)
        while (loop.now() + pause < expiry) {
            delay(pause)
            pause = timing.checkPause
            val latest = (lastUse() ?: continue) + timing.hold
            val gain = latest - expiry
            if (gain < timing.checkPause) {
                pause = timing.checkPause - gain
                continue
            }
            val hold = latest - loop.now()
            when (reserve(hold)) {
                ReserveResult.HELD -> {
                    expiry = latest
                    pause = pauseAfter(hold)
                }

                ReserveResult.REFUSED -> {
                    return
                }

                ReserveResult.UNKNOWN -> {}
            }
        }
    }

    /** Returns the pause before a reservation of [hold] is renewed, which leaves time for a second try. */
    private fun pauseAfter(hold: Long): Long = maxOf((hold * MIN_RENEWAL_SHARE).toLong(), hold - timing.renewalMargin)

    /** Returns a time at which a request used the memory for certain; null if no recent one is known. */
    private suspend fun lastUse(): MonotonicTime? {
        lastSign()?.takeIf { loop.now() - it < timing.reportAge }?.let { return it }
        val now = loop.now()
        return when (memory.useOf(target, id)) {
            MemoryUse.IN_USE -> now + -timing.reportAge
            MemoryUse.UNUSED, MemoryUse.UNKNOWN -> null
        }
    }

    /** Sends the reservation, which counts as unsettled unless an answer arrives; a cancellation leaves it unsettled too. */
    private suspend fun reserve(holdMillis: Long): ReserveResult {
        val before = unsettledUntil
        unsettledUntil = loop.now() + timing.lateOrder
        val result = memory.reserve(target, id, tokens, holdMillis)
        if (result != ReserveResult.UNKNOWN) unsettledUntil = before
        return result
    }

    private fun releaseInBackground() {
        isReleasing = true
        loop.scope.launch {
            try {
                repeatRelease()
                while (unsettledUntil > loop.now()) {
                    delay(timing.lateReleaseInterval)
                    repeatRelease()
                }
            } finally {
                onReleased()
            }
            // The scope reports it; the releases that followed may have succeeded.
            releaseFailure?.let { throw it }
        }
    }

    private suspend fun repeatRelease() {
        repeat(RELEASE_ATTEMPTS) {
            if (release()) return
            delay(timing.retryPause)
        }
    }

    private suspend fun release(): Boolean =
        try {
            memory.release(target, id)
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Throwable) {
            releaseFailure = failure
            false
        }

    private companion object {
        /** Least share of a reservation's duration after which it is renewed, however short it is. */
        const val MIN_RENEWAL_SHARE = 0.4

        /** Attempts to release the memory while no answer arrives; without one, the reservation expires. */
        const val RELEASE_ATTEMPTS = 3
    }
}
