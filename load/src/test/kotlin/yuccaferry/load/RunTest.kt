// Tests whole runs against an HTTP server in this process that answers correctly, wrongly, in part or with an error.
package yuccaferry.load

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertEquals

private const val SEED = 7L

class RunTest {
    @Nested
    inner class Answers {
        @Test
        fun `with the whole expected text are complete`() = assertEquals(emptyMap(), errorCounts { own, _ -> stream(own) })

        @Test
        fun `of another request are wrong`() =
            assertEquals(mapOf("wrong_answer" to 1), errorCounts { own, number -> stream(if (number == 3) "other " else own) })

        @Test
        fun `that break off fail as cut`() =
            assertEquals(mapOf("answer_cut" to 1), errorCounts { own, number -> if (number == 3) chunk(own) else stream(own) })

        @Test
        fun `that end in an error have its code`() =
            assertEquals(
                mapOf("target_failed" to 1),
                errorCounts { own, number ->
                    if (number == 3) chunk(own) + """data: {"error":{"code":"target_failed","message":"m"}}""" + "\n\n" else stream(own)
                },
            )
    }

    /**
     * Returns how many requests ended with each error code. [answer] builds a body from the request's expected text and a
     * number, which is 3 for one request in the middle of the plan and 0 for all others.
     */
    private fun errorCounts(answer: (own: String, number: Int) -> String): Map<String, Int> {
        val experiment = experiment(seconds = 1, rate = 20.0).copy(bookingShare = 0.0, lookupShare = 0.0, drainSeconds = 10)
        val plan = plan(experiment, SEED).filter { it is PlannedPrompt && it.lengthClass == LengthClass.SHORT }
        val texts = plan.associate { textOf(it as PlannedPrompt, SEED, experiment.threads.sharedPart) to it.number }
        val chosen = plan[plan.size / 2].number
        val server =
            AnsweringServer { body ->
                val prompt = body.substringAfter("\"prompt\":\"").substringBefore('"')
                answer(ownText(prompt), if (texts[prompt] == chosen) 3 else 0)
            }
        return server.use {
            runBlocking(Dispatchers.Default) {
                loadClient().use { client ->
                    val eventExecutor = EventExecutor(client, ControlAddresses())
                    val run =
                        Run(experiment, SEED, plan, client, listOf(server.address), eventExecutor, { prompt, _ -> ownText(prompt) }) {}
                    val result = summarize(experiment, RunLabel("test", SEED, emptySet()), run.execute(), null)
                    assertEquals(plan.size, result.requests)
                    result.errors.associate { it.code to it.count }
                }
            }
        }
    }

    private fun ownText(prompt: String) = "answer ${prompt.hashCode()}"

    private fun chunk(text: String) = """data: {"choices":[{"index":0,"text":"$text","finish_reason":null}]}""" + "\n\n"

    private fun stream(text: String) =
        chunk(text) + """data: {"choices":[{"index":0,"text":"","finish_reason":"length"}]}""" + "\n\ndata: [DONE]\n\n"

    private class AnsweringServer(
        private val answer: (body: String) -> String,
    ) : AutoCloseable {
        private val threads = Executors.newFixedThreadPool(4)
        private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        val address = "http://127.0.0.1:${server.address.port}"

        init {
            server.executor = threads
            server.createContext("/") { respond(it) }
            server.start()
        }

        override fun close() {
            server.stop(0)
            threads.shutdownNow()
        }

        private fun respond(exchange: HttpExchange) =
            exchange.use {
                val body = answer(it.requestBody.readBytes().decodeToString()).encodeToByteArray()
                it.responseHeaders.add("Content-Type", "text/event-stream")
                it.sendResponseHeaders(200, body.size.toLong())
                it.responseBody.write(body)
            }
    }
}
