// Handlers of the signals that the platform sends, from the first moment of the process on.
package yuccaferry.gateway.app

import sun.misc.Signal

/** Handles SIGHUP and SIGTERM, also while there is no daemon yet. */
internal class ProcessSignals {
    private var actions: Actions? = null
    private var mustReload = false

    /** Replaces the default handlers, which end the process. */
    fun install() {
        Signal.handle(Signal("HUP")) { reload() }
        Signal.handle(Signal("TERM")) { terminate() }
    }

    /** Calls [onReload] for each SIGHUP, also for one that has already arrived, and [onTerminate] for each SIGTERM; on other threads. */
    @Synchronized
    fun attach(
        onReload: () -> Unit,
        onTerminate: () -> Unit,
    ) {
        actions = Actions(onReload, onTerminate)
        if (mustReload) onReload()
    }

    @Synchronized
    private fun reload() {
        mustReload = true
        actions?.onReload?.invoke()
    }

    @Synchronized
    private fun terminate() {
        // Without a daemon there are no callers to serve.
        actions?.onTerminate?.invoke() ?: Runtime.getRuntime().halt(0)
    }

    private class Actions(
        val onReload: () -> Unit,
        val onTerminate: () -> Unit,
    )
}
