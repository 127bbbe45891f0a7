// Port to the process's monotonic clock.
package yuccaferry.daemon.port

import yuccaferry.model.MonotonicTime

/** Reads the monotonic clock of this process; it does not stop while the process is paused. */
fun interface Clock {
    fun now(): MonotonicTime
}
