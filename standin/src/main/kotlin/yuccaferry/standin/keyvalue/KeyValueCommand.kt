/*
 * Stand-in of the platform's key-value service, which can be cut off, slowed down, limited in its rate, and made
 * to lose answers.
 */
package yuccaferry.standin.keyvalue

import io.ktor.server.routing.routing
import kotlinx.cli.ExperimentalCli
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import yuccaferry.standin.StandInCommand
import yuccaferry.standin.server.HostPort
import yuccaferry.standin.server.StandInServer

private const val LAPSE_INTERVAL_MS = 50L
private const val NANOS_PER_MILLI = 1_000_000L

/** The `key-value` subcommand. */
@OptIn(ExperimentalCli::class)
internal class KeyValueCommand : StandInCommand("key-value", "Key-value service with the etcd v3 JSON gateway") {
    override suspend fun start(listen: HostPort) = KeyValueServer(listen).start()
}

/** One key-value stand-in that listens at [listen] once started. */
internal class KeyValueServer(
    listen: HostPort,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val store = Store(::now)
    private val gate = CallGate(::now)
    private val server: StandInServer =
        StandInServer(listen) {
            routing { keyValueRoutes(store, gate, ::dropConnections) }
        }

    /** Starts the lapse of leases and the server; returns the address in use. */
    suspend fun start(): HostPort {
        scope.launch {
            while (scope.isActive) {
                delay(LAPSE_INTERVAL_MS)
                store.lapse()
            }
        }
        return server.start()
    }

    /** Ends the server. */
    fun stop() {
        scope.cancel()
        server.stop()
    }

    private fun dropConnections() = server.dropConnections()

    private fun now() = System.nanoTime() / NANOS_PER_MILLI
}
