/*
 * Holds requests that find no place, and tries them in order of urgency. Only for services whose requests differ in rank; those of other
 * services look for a place each for itself. Short and long prompts wait in queues of their own, because they need different room.
 */
package yuccaferry.gateway.request

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.dispatch.AdmissionQueue
import yuccaferry.decisions.dispatch.StreamPlacement
import yuccaferry.decisions.dispatch.WaitingRequest
import yuccaferry.decisions.routing.Urgency
import yuccaferry.gateway.net.EventLoop
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import kotlin.random.Random

/** How a request's wait for a place ended. */
internal sealed interface Admission {
    /** The request may be sent to the targets of [placement]. */
    class Admitted(
        val placement: Placement,
    ) : Admission

    /** No target may receive the request. */
    data object NoTarget : Admission

    /** The request can't be served; [reason] is a constant name. */
    class Refused(
        val reason: String,
        val backlogMillis: Double,
    ) : Admission
}

/** Admits requests whose urgency differs; confined to the event loop. */
internal class RankedAdmission(
    private val loop: EventLoop,
    private val random: Random,
    private val telemetry: Telemetry,
) {
    private val queues = HashMap<QueueKey, Queue>()

    init {
        telemetry.gauge("yuccaferry_admission_waiting") { queues.values.sumOf { it.order.size }.toDouble() }
    }

    /**
     * Waits until [place], which is called with the current time and searches for a place, finds one for [request] of [urgency], or until
     * the request can't be served anymore by [streamPlacement]. The most urgent short requests may take any place and don't wait.
     */
    suspend fun admit(
        request: AdmittedRequest,
        urgency: Urgency,
        streamPlacement: StreamPlacement,
        place: (MonotonicTime) -> Placement?,
    ): Admission {
        val isLong = streamPlacement.isLong(request.head.promptTokens)
        if (!isLong && urgency.level == 0) return place(loop.now())?.let { Admission.Admitted(it) } ?: Admission.NoTarget
        val queue = queues.getOrPut(QueueKey(request.service.name, isLong)) { Queue() }
        val leastMillis = streamPlacement.leastMillis(request.head.promptTokens).toLong()
        val waiting = Waiting(entryOf(request, urgency, leastMillis))
        queue.add(waiting, loop.now())
        var admission: Admission? = null
        try {
            return await(waiting, queue, leastMillis, place).also { admission = it }
        } finally {
            queue.leave(waiting, isAdmitted = admission is Admission.Admitted, loop.now())
            recordEnd(waiting, admission)
        }
    }

    private suspend fun await(
        waiting: Waiting,
        queue: Queue,
        leastMillis: Long,
        place: (MonotonicTime) -> Placement?,
    ): Admission {
        while (true) {
            val now = loop.now()
            when {
                waiting.isOverflow -> {
                    return Admission.Refused("queue_full", queue.backlogMillis(leastMillis))
                }

                now > waiting.entry.servableUntil -> {
                    return Admission.Refused("too_late", queue.backlogMillis(leastMillis))
                }

                queue.order.isDue(waiting.entry, now) -> {
                    val placement = place(now) ?: return Admission.Refused("no_room", queue.backlogMillis(leastMillis))
                    if (!placement.shouldWait) return Admission.Admitted(placement)
                }
            }
            recordWait(waiting, queue, now)
            withTimeoutOrNull(pauseMillis(waiting, now)) { waiting.wake.receive() }
        }
    }

    /**
     * Returns the time until the next try. It is random, so that daemons seldom choose the same idle engine at the same moment, and longer
     * for less urgent requests, so that a place that becomes free is more likely to be found by an urgent one.
     */
    private fun pauseMillis(
        waiting: Waiting,
        now: MonotonicTime,
    ): Long = random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS) * (1 + maxOf(0, waiting.entry.levelAt(now)))

    private fun entryOf(
        request: AdmittedRequest,
        urgency: Urgency,
        leastMillis: Long,
    ) = WaitingRequest(
        id = checkNotNull(request.head.id) { "expected a request with an id, found none" },
        urgency = urgency,
        account = request.account?.name,
        arrival = request.arrival,
        onTimeUntil = request.arrival + (request.route.targetLatencyMillis - leastMillis),
        servableUntil = request.deadline + -leastMillis,
        deadline = request.deadline,
    )

    /** Records once that the request had to wait, and the request that is tried directly before it. */
    private fun recordWait(
        waiting: Waiting,
        queue: Queue,
        now: MonotonicTime,
    ) {
        if (waiting.hasWaited) return
        waiting.hasWaited = true
        val order = queue.order.inOrder(now)
        val position = order.indexOf(waiting.entry)
        telemetry.event(
            "request_waiting",
            Field("request", waiting.entry.id),
            Field("rank", waiting.entry.urgency.rank),
            Field("position", position + 1),
            Field("waiting", order.size),
            Field("ahead", order.getOrNull(position - 1)?.id),
        )
        telemetry.count("yuccaferry_admission_waits_total", 1.0, Field("rank", waiting.entry.urgency.rank))
    }

    private fun recordEnd(
        waiting: Waiting,
        admission: Admission?,
    ) {
        val entry = waiting.entry
        val outcome =
            when (admission) {
                is Admission.Admitted -> "admitted"
                Admission.NoTarget -> "no_target"
                is Admission.Refused -> admission.reason
                null -> "ended"
            }
        if (admission is Admission.Refused) {
            telemetry.count("yuccaferry_admission_refusals_total", 1.0, Field("reason", outcome), Field("rank", entry.urgency.rank))
        }
        if (!waiting.hasWaited) return
        val now = loop.now()
        telemetry.event(
            "request_wait_ended",
            Field("request", entry.id),
            Field("rank", entry.urgency.rank),
            Field("level", entry.levelAt(now)),
            Field("waited_ms", now - entry.arrival),
            Field("outcome", outcome),
        )
        telemetry.time("yuccaferry_admission_wait", now - entry.arrival, Field("rank", entry.urgency.rank))
    }

    private data class QueueKey(
        val service: ServiceName,
        val isLong: Boolean,
    )

    private class Waiting(
        val entry: WaitingRequest,
    ) {
        /** Receives an element when the request may have become the first. */
        val wake = Channel<Unit>(Channel.CONFLATED)
        var hasWaited = false
        var isOverflow = false
    }

    /** The requests of one queue, and how to wake them. */
    private class Queue {
        val order = AdmissionQueue()
        private val byEntry = HashMap<WaitingRequest, Waiting>()

        fun add(
            waiting: Waiting,
            now: MonotonicTime,
        ) {
            byEntry[waiting.entry] = waiting
            val overflow = order.add(waiting.entry, now)?.let { byEntry[it] } ?: return
            overflow.isOverflow = true
            overflow.wake.trySend(Unit)
        }

        fun leave(
            waiting: Waiting,
            isAdmitted: Boolean,
            now: MonotonicTime,
        ) {
            byEntry -= waiting.entry
            if (isAdmitted) order.admit(waiting.entry) else order.remove(waiting.entry)
            order
                .first(now)
                ?.let { byEntry[it] }
                ?.wake
                ?.trySend(Unit)
        }

        /** Returns the time in milliseconds that those in the queue take at least, of about [leastMillis] each. */
        fun backlogMillis(leastMillis: Long): Double = order.size.toDouble() * leastMillis
    }

    private companion object {
        /** Bounds in ms of the random pause before the next try of a request of the most urgent level. */
        const val MIN_PAUSE_MILLIS = 15L
        const val MAX_PAUSE_MILLIS = 60L
    }
}
