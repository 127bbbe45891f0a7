// Command line of the proxy, and its admin port.
package yuccaferry.standin.proxy

import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import yuccaferry.standin.StandInCommand
import yuccaferry.standin.server.HostPort
import yuccaferry.standin.server.StandInServer
import yuccaferry.standin.server.receiveFaults
import yuccaferry.standin.server.respondJson

/** The `proxy` subcommand. It prints a `listening` line for its admin port before the one for the proxy. */
@OptIn(ExperimentalCli::class)
internal class ProxyCommand : StandInCommand("proxy", "TCP proxy with faults") {
    private val target by option(ArgType.String, "target", description = "HOST:PORT to forward connections to").required()
    private val admin by option(ArgType.String, "admin", description = "HOST:PORT for faults and counts").default("127.0.0.1:0")

    override suspend fun start(listen: HostPort): HostPort {
        val proxy = TcpProxy(listen, HostPort.parse(target))
        val address = proxy.start()
        val adminAddress = proxyAdmin(HostPort.parse(admin), proxy).start()
        println("listening name=$standInName role=admin address=$adminAddress")
        return address
    }
}

/** HTTP server for the faults and counts of [proxy]. */
internal fun proxyAdmin(
    listen: HostPort,
    proxy: TcpProxy,
): StandInServer =
    StandInServer(listen) {
        routing {
            put("/standin/faults") { call.receiveFaults<ProxyFaults> { proxy.set(it) } }
            get("/standin/stats") { call.respondJson(proxy.stats()) }
        }
    }
