/*
 * Makes one change of the configuration. Each change gets an attempt id before it is first sent. When
 * an answer is lost, the configuration is read back and searched for that id; the change is sent
 * again, with the same id, only if it is not there.
 */
package yuccaferry.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.delay
import yuccaferry.model.AttemptId
import yuccaferry.model.Configuration
import yuccaferry.model.admin.AdminErrorCode
import yuccaferry.model.admin.ChangeAnswer
import yuccaferry.model.admin.ChangeState
import java.util.UUID

private const val SEND_TRIES = 3
private const val RETRY_MILLIS = 500L

/** Posts a change to [path], at most [SEND_TRIES] times, until its outcome is known; returns the last error if it never is. */
internal suspend fun Session.change(
    path: String,
    body: String = "",
): Result<ChangeAnswer, CallError> {
    val attempt = AttemptId(UUID.randomUUID().toString())
    var last: CallError = CallError.Unreachable("")
    repeat(SEND_TRIES) { n ->
        if (n > 0) {
            delay(RETRY_MILLIS * n)
            findChange(attempt)?.let { return Ok(it) }
        }
        val answer = client.post<ChangeAnswer>(path, body, attempt)
        last = answer.getError() ?: return answer
        if (!isUncertain(last)) return answer
        printProgress("the outcome is not known yet; reading back change $attempt")
    }
    findChange(attempt)?.let { return Ok(it) }
    return Err(last)
}

/**
 * Returns the change if a daemon has it in force, null otherwise. Its state is pending: that one daemon has it
 * doesn't mean that it is accepted.
 */
private suspend fun Session.findChange(attempt: AttemptId): ChangeAnswer? =
    client
        .get<Configuration>("/v1/configuration")
        .get()
        ?.versionMadeBy(attempt)
        ?.let { ChangeAnswer(it, ChangeState.PENDING) }

private fun isUncertain(error: CallError): Boolean =
    error is CallError.Lost || (error is CallError.Refused && error.error.code == AdminErrorCode.OUTCOME_UNKNOWN)
