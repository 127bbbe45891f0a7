// Writes one answer as server-sent events and applies the faults of its request.
package yuccaferry.standin.engine

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.serialization.Serializable
import yuccaferry.standin.server.ErrorDetail
import yuccaferry.standin.standInJson

private const val CROSSED_PROMPT = "the prompt of another request"

/** How a stream ended: with its final event, cleanly without one, or by closing the connection. */
internal enum class StreamEnd { COMPLETE, TRUNCATED, BROKEN }

@Serializable
private class ErrorEvent(
    val id: String,
    val error: ErrorDetail,
)

/** Event stream of one request, as a completion or, with [chat], a chat completion. */
internal class AnswerStream(
    private val out: ByteWriteChannel,
    private val model: String,
    private val chat: Boolean,
    private val job: Job,
    private val faults: EngineFaults,
) {
    private val id = standInJson.encodeToString(job.holder.id)
    private val otherId = standInJson.encodeToString("other-${job.holder.id}")
    private var pieces = 0

    /** Writes the output of the job until the job ends or a fault ends the stream. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun copy(): StreamEnd {
        for (output in job.output) {
            if (output is Output.Piece && pieces == faults.dieAfterPieces) return StreamEnd.BROKEN
            if (output is Output.Piece && pieces == faults.truncate) return StreamEnd.TRUNCATED
            when (output) {
                is Output.Piece -> writePiece(output)
                is Output.Finished -> return writeFinish(output)
                is Output.Ended -> return writeError(output)
                is Output.Prefilled -> Unit
                Output.Crashed -> return StreamEnd.BROKEN
            }
            if (job.output.isEmpty) out.flush()
        }
        return StreamEnd.BROKEN
    }

    private suspend fun writePiece(output: Output.Piece) {
        pieces++
        if (output.number == faults.dropPiece) return
        writeEvent(output)
        if (output.number == faults.duplicatePiece) writeEvent(output)
    }

    private suspend fun writeEvent(output: Output.Piece) {
        val crossed = faults.crossRequestIds
        val text = if (crossed) PieceText.piece(model, CROSSED_PROMPT, output.number) else output.text
        writeData(
            """{"id":${if (crossed) otherId else id},"piece":${output.number},"choices":[{"index":0,${content(
                text,
            )},"finish_reason":null}]}""",
        )
    }

    private suspend fun writeFinish(output: Output.Finished): StreamEnd {
        val usage =
            """{"prompt_tokens":${output.promptTokens},"completion_tokens":${output.pieces},""" +
                """"cached_tokens":${output.cachedTokens}}"""
        writeData("""{"id":$id,"piece":${output.pieces},"choices":[{"index":0,${content("")},"finish_reason":"length"}],"usage":$usage}""")
        writeData("[DONE]")
        out.flush()
        return StreamEnd.COMPLETE
    }

    private suspend fun writeError(output: Output.Ended): StreamEnd {
        writeData(standInJson.encodeToString(ErrorEvent(job.holder.id, ErrorDetail(output.code, output.message))))
        out.flush()
        return StreamEnd.COMPLETE
    }

    private fun content(text: String): String {
        val quoted = standInJson.encodeToString(text)
        return if (chat) """"delta":{"content":$quoted}""" else """"text":$quoted"""
    }

    private suspend fun writeData(data: String) {
        out.writeStringUtf8("data: $data\n\n")
    }
}
