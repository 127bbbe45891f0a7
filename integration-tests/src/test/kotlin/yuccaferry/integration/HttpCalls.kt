// HTTP calls of the tests. The JDK's client throws an IOException when a response is truncated.
package yuccaferry.integration

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration

private val TIMEOUT = Duration.ofSeconds(60)

/** Makes calls over HTTP/1.1. */
internal object HttpCalls {
    val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun request(
        address: String,
        path: String,
        headers: Map<String, String> = emptyMap(),
    ): HttpRequest.Builder {
        val builder = HttpRequest.newBuilder(URI("http://$address$path")).timeout(TIMEOUT)
        headers.forEach { (name, value) -> builder.header(name, value) }
        return builder
    }

    fun get(
        address: String,
        path: String,
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<String> = send(request(address, path, headers))

    fun post(
        address: String,
        path: String,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<String> = send(request(address, path, headers).POST(BodyPublishers.ofString(body)))

    fun put(
        address: String,
        path: String,
        body: String,
    ): HttpResponse<String> = send(request(address, path).PUT(BodyPublishers.ofString(body)))

    private fun send(request: HttpRequest.Builder): HttpResponse<String> = client.send(request.build(), BodyHandlers.ofString())
}
