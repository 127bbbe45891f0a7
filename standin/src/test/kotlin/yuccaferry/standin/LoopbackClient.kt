// HTTP client of the tests, over loopback only. The JDK's client reports a truncated response as an IOException.
package yuccaferry.standin

import yuccaferry.standin.server.HostPort
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration

internal val loopback = HostPort("127.0.0.1", 0)
private val timeout = Duration.ofSeconds(5)

/** Sends calls to the stand-in at [address]. */
internal class LoopbackClient(
    private val address: HostPort,
) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun post(
        path: String,
        body: String,
    ): String = send(request(path).POST(BodyPublishers.ofString(body)))

    /** Returns the response, or null if the connection closes before it is complete. */
    fun postOrNull(
        path: String,
        body: String,
    ): String? =
        try {
            post(path, body)
        } catch (_: IOException) {
            null
        }

    fun get(path: String): String = send(request(path))

    fun setFaults(body: String) {
        send(request("/standin/faults").PUT(BodyPublishers.ofString(body)))
    }

    private fun request(path: String) = HttpRequest.newBuilder(URI("http://$address$path")).timeout(timeout)

    private fun send(request: HttpRequest.Builder): String = client.send(request.build(), BodyHandlers.ofString()).body()
}
