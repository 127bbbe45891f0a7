// Fakes the part of a daemon's admin API that the tests of the command line use.
package yuccaferry.ctl

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import yuccaferry.model.AttemptId
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.admin.AdminJson
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/** How the daemon handles one call. */
internal sealed interface Reaction {
    data class Answer(
        val status: Int,
        val body: String,
    ) : Reaction

    /** Applies the change, then closes the connection without an answer. */
    data object ApplyAndDrop : Reaction

    /** Closes the connection without applying the change. */
    data object Drop : Reaction
}

internal class FakeDaemon(
    private val react: (method: String, path: String) -> Reaction?,
) : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    val calls = CopyOnWriteArrayList<String>()
    val tokens = CopyOnWriteArrayList<String>()
    var configuration = Configuration.EMPTY
    val address get() = "http://127.0.0.1:${server.address.port}"

    init {
        server.createContext("/") { handle(it) }
        server.start()
    }

    override fun close() = server.stop(0)

    private fun handle(exchange: HttpExchange) {
        val call = "${exchange.requestMethod} ${exchange.requestURI}"
        calls += call
        tokens += exchange.requestHeaders.getFirst("Authorization")
        val reaction = react(exchange.requestMethod, exchange.requestURI.toString()) ?: Reaction.Answer(200, currentJson())
        when (reaction) {
            is Reaction.Answer -> {
                send(exchange, reaction)
            }

            is Reaction.ApplyAndDrop -> {
                val next = ConfigurationVersion(configuration.version.value + 1)
                configuration =
                    Configuration(next, configuration.file, attempt = AttemptId(exchange.requestHeaders.getFirst("X-Attempt-Id")))
                exchange.close()
            }

            is Reaction.Drop -> {
                exchange.close()
            }
        }
    }

    private fun currentJson() = AdminJson.encodeToString(configuration)

    private fun send(
        exchange: HttpExchange,
        answer: Reaction.Answer,
    ) {
        val bytes = answer.body.encodeToByteArray()
        exchange.requestBody.readAllBytes()
        exchange.sendResponseHeaders(answer.status, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }
}
