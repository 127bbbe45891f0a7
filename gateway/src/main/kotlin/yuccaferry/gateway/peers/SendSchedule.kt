// Runs an action once for all requests that are made until it is due.
package yuccaferry.gateway.peers

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.gateway.net.EventLoop
import yuccaferry.model.MonotonicTime

/** Runs [action] on [loop]; a request for an earlier time replaces one for a later time. */
internal class SendSchedule(
    private val loop: EventLoop,
    private val telemetry: Telemetry,
    private val action: () -> Unit,
) {
    private var pending: Job? = null
    private var due = MonotonicTime(0)

    /** Runs the action within [millis] from now. */
    fun within(millis: Long) {
        val requested = loop.now() + millis
        if (pending?.isActive == true && due <= requested) return
        pending?.cancel()
        due = requested
        pending =
            loop.scope.launch {
                delay(millis)
                pending = null
                run()
            }
    }

    private fun run() {
        try {
            action()
        } catch (failure: Throwable) {
            telemetry.event("peer_send_failed", Field("error", failure), severity = Severity.ERROR)
        }
    }
}
