// Runs code on a thread with little stack, as decoders may have.
package yuccaferry.model.json

import java.util.concurrent.FutureTask

private const val STACK_BYTES = 256L * 1024

/** Runs [action] on a thread with a small stack and rethrows what it throws. */
internal fun onSmallStack(action: () -> Unit) {
    var thrown: Throwable? = null
    val task =
        FutureTask {
            try {
                action()
            } catch (e: Throwable) {
                thrown = e
            }
        }
    Thread(null, task, "small-stack", STACK_BYTES).start()
    task.get()
    thrown?.let { throw it }
}
