/*
 * Stand-in of the platform's key-value service. Its faults are outages, delays, rate limits and lost responses.
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

private const val LEASE_EXPIRY_INTERVAL_MS = 50L
private const val NANOS_PER_MILLI = 1_000_000L

/** The `key-value` subcommand. */
@OptIn(ExperimentalCli::class)
internal class KeyValueCommand : StandInCommand("key-value", "Key-value service with the etcd v3 JSON gateway") {
    override suspend fun start(listen: HostPort) = KeyValueServer(listen).start()
}

/** One key-value stand-in. It listens at [listen] once it is started. */
internal class KeyValueServer(
    listen: HostPort,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val store = Store(::now)
    private val injector = FaultInjector(::now)
    private val server: StandInServer =
        StandInServer(listen) {
            routing { keyValueRoutes(store, injector, ::dropConnections) }
        }

    /** Starts the expiry of leases and the server; returns the address that it listens on. */
    suspend fun start(): HostPort {
        scope.launch {
            while (scope.isActive) {
                delay(LEASE_EXPIRY_INTERVAL_MS)
                store.expireLeases()
            }
        }
        return server.start()
    }

    /** Stops the server and the expiry of leases. */
    fun stop() {
        scope.cancel()
        server.stop()
    }

    private fun dropConnections() = server.dropConnections()

    private fun now() = System.nanoTime() / NANOS_PER_MILLI
}
