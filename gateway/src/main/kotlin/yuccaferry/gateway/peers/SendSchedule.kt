// Runs an action once for all requests that are made until it is due.
package yuccaferry.gateway.peers

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.gateway.net.EventLoop
import yuccaferry.model.MonotonicTime

/** Runs [action] on [loop]; a request for an earlier time replaces one for a later time. */
internal class SendSchedule(
    private val loop: EventLoop,
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
                action()
            }
    }
}
