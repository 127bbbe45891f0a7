/*
 * Text form of a booking's record in the key-value service: one JSON object with short names.
 * A value that can't be decoded is reported as such and never treated as a missing record.
 */
package yuccaferry.daemon.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import yuccaferry.decisions.ledger.AnswerBody
import yuccaferry.decisions.ledger.AnswerHeader
import yuccaferry.decisions.ledger.BookingRecord
import yuccaferry.decisions.ledger.BookingState
import yuccaferry.decisions.ledger.Claim
import yuccaferry.decisions.ledger.Fingerprint
import yuccaferry.decisions.ledger.StoredAnswer
import yuccaferry.model.AttemptId
import yuccaferry.model.DaemonId
import yuccaferry.model.json.decodeBounded
import java.util.Base64

private val recordJson =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
    }

@Serializable
private data class RecordValue(
    @SerialName("a") val attempt: String,
    @SerialName("f") val fingerprint: String,
    @SerialName("c") val claim: ClaimValue,
    @SerialName("s") val state: StateValue,
)

@Serializable
private data class ClaimValue(
    @SerialName("a") val attempt: String,
    @SerialName("d") val claimant: String,
    @SerialName("w") val dispatchWindowMillis: Long,
    @SerialName("l") val lifeMillis: Long,
)

@Serializable
private sealed interface StateValue {
    @Serializable
    @SerialName("claimed")
    data object Claimed : StateValue

    @Serializable
    @SerialName("not_run")
    data object NotRun : StateValue

    @Serializable
    @SerialName("unknown")
    data class Unknown(
        @SerialName("r") val reason: String,
    ) : StateValue

    @Serializable
    @SerialName("answered")
    data class Answered(
        @SerialName("st") val status: Int,
        @SerialName("h") val headers: List<HeaderValue> = emptyList(),
        @SerialName("b") val body: String? = null,
        @SerialName("n") val droppedBytes: Int? = null,
        @SerialName("x") val droppedDigest: String? = null,
    ) : StateValue
}

@Serializable
private data class HeaderValue(
    @SerialName("n") val name: String,
    @SerialName("v") val value: String,
)

/** Encodes [record] as a value of the key-value service. */
internal fun encodeRecord(record: BookingRecord): String =
    recordJson.encodeToString(
        RecordValue.serializer(),
        RecordValue(
            attempt = record.attempt.value,
            fingerprint = record.fingerprint.value,
            claim =
                ClaimValue(
                    attempt = record.claim.attempt.value,
                    claimant = record.claim.claimant.value,
                    dispatchWindowMillis = record.claim.dispatchWindowMillis,
                    lifeMillis = record.claim.lifeMillis,
                ),
            state = encodeState(record.state),
        ),
    )

/** Decodes a record; null when [value] is not one. */
internal fun decodeRecord(value: String): BookingRecord? =
    try {
        val read = recordJson.decodeBounded(RecordValue.serializer(), value)
        BookingRecord(
            attempt = AttemptId(read.attempt),
            fingerprint = Fingerprint(read.fingerprint),
            claim =
                Claim(
                    attempt = AttemptId(read.claim.attempt),
                    claimant = DaemonId(read.claim.claimant),
                    dispatchWindowMillis = read.claim.dispatchWindowMillis,
                    lifeMillis = read.claim.lifeMillis,
                ),
            state = decodeState(read.state),
        )
    } catch (_: IllegalArgumentException) {
        // Thrown for JSON of another shape and for invalid base64.
        null
    }

private fun encodeState(state: BookingState): StateValue =
    when (state) {
        BookingState.Claimed -> StateValue.Claimed
        BookingState.NotRun -> StateValue.NotRun
        is BookingState.Unknown -> StateValue.Unknown(state.reason)
        is BookingState.Answered -> encodeAnswer(state.answer)
    }

private fun encodeAnswer(answer: StoredAnswer): StateValue {
    val headers = answer.headers.map { HeaderValue(it.name, it.value) }
    return when (val body = answer.body) {
        is AnswerBody.Kept -> {
            StateValue.Answered(answer.status, headers, body = Base64.getEncoder().encodeToString(body.bytes))
        }

        is AnswerBody.Dropped -> {
            StateValue.Answered(answer.status, headers, droppedBytes = body.bytes, droppedDigest = body.digest)
        }
    }
}

private fun decodeState(state: StateValue): BookingState =
    when (state) {
        StateValue.Claimed -> BookingState.Claimed
        StateValue.NotRun -> BookingState.NotRun
        is StateValue.Unknown -> BookingState.Unknown(state.reason)
        is StateValue.Answered -> BookingState.Answered(StoredAnswer(state.status, decodeHeaders(state), decodeBody(state)))
    }

private fun decodeHeaders(state: StateValue.Answered) = state.headers.map { AnswerHeader(it.name, it.value) }

private fun decodeBody(state: StateValue.Answered): AnswerBody =
    if (state.body != null) {
        AnswerBody.Kept(Base64.getDecoder().decode(state.body))
    } else {
        AnswerBody.Dropped(state.droppedBytes ?: 0, state.droppedDigest.orEmpty())
    }
