// Writes the events of one generation as the HTTP response: as a stream of server-sent events or as one body.
package yuccaferry.http.callers

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import yuccaferry.daemon.request.GenerationEvent
import yuccaferry.model.RequestId

private const val EVENT_BUFFER = 64
private const val MILLIS_PER_SECOND = 1_000L
private const val STREAM_END = "data: [DONE]\n\n"

internal class GenerationExchange(
    private val call: ApplicationCall,
    private val id: RequestId,
    private val request: CompletionRequest,
) {
    private val answer = CompletionAnswer(id, request, System.currentTimeMillis() / MILLIS_PER_SECOND)

    /**
     * Responds to the call with [events]. No status is sent before the first event, so that a failure as the first event
     * is answered with its own status.
     */
    suspend fun answer(events: Flow<GenerationEvent>) =
        coroutineScope {
            val channel = events.buffer(EVENT_BUFFER).produceIn(this)
            if (request.stream) stream(channel) else whole(channel)
        }

    private suspend fun stream(events: ReceiveChannel<GenerationEvent>) {
        val first = events.receive()
        if (first is GenerationEvent.Failed) {
            call.refuse(id, first.refusal)
            return
        }
        call.response.header(HttpHeaders.CacheControl, "no-store")
        call.respondBytesWriter(ContentType.Text.EventStream) {
            write(first)
            for (event in events) write(event)
        }
    }

    private suspend fun ByteWriteChannel.write(event: GenerationEvent) {
        when (event) {
            is GenerationEvent.Text -> {
                writeStringUtf8("data: ${answer.textChunk(event.text)}\n\n")
            }

            is GenerationEvent.Finished -> {
                writeStringUtf8("data: ${answer.lastChunk(event.reason, event.usage)}\n\n")
                writeStringUtf8(STREAM_END)
            }

            is GenerationEvent.Failed -> {
                writeStringUtf8("data: ${refusalJson(id, event.refusal)}\n\n")
            }
        }
        flush()
    }

    private suspend fun whole(events: ReceiveChannel<GenerationEvent>) {
        val text = StringBuilder()
        for (event in events) {
            when (event) {
                is GenerationEvent.Text -> {
                    text.append(event.text)
                }

                is GenerationEvent.Failed -> {
                    call.refuse(id, event.refusal)
                }

                is GenerationEvent.Finished -> {
                    val body = answer.whole(text.toString(), event.reason, event.usage)
                    call.respondText(body.toString(), ContentType.Application.Json)
                }
            }
        }
    }
}
