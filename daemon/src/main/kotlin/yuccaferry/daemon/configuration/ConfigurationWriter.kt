/*
 * Writes changes to the head record. Every write is a compare-and-swap on the revision that was
 * read, and carries the change's attempt id; after a lost answer the record is read back and the
 * attempt looked up in it. Trying again at the same revision is safe, as at most one write can
 * replace a revision.
 */
package yuccaferry.daemon.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import yuccaferry.daemon.port.StoreError
import yuccaferry.daemon.port.SwapOutcome
import yuccaferry.decisions.configuration.ChangeRefusal
import yuccaferry.decisions.configuration.newer
import yuccaferry.model.AttemptId
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.Problem
import yuccaferry.model.RECENT_ATTEMPTS_KEPT
import kotlin.random.Random

/** Bytes that the key-value service takes as one value. */
private const val MAX_VALUE_BYTES = 1_000_000

private typealias Decision = (Configuration) -> Result<Configuration, ChangeRefusal>

internal class ConfigurationWriter(
    private val record: HeadRecord,
    private val settings: ConfigurationSettings,
    private val random: Random,
    private val held: () -> Configuration,
    private val learned: (Head) -> Unit,
) {
    /** Makes one change, and returns the version that it made. */
    suspend fun change(
        attempt: AttemptId,
        decide: Decision,
    ): Result<ConfigurationVersion, ChangeError> = OneChange(attempt, decide).run()

    private inner class OneChange(
        private val attempt: AttemptId,
        private val decide: Decision,
    ) {
        /** The head that a write with an unknown outcome would have replaced. */
        private var unsettled: Head? = null
        private var lastMessage = ""

        suspend fun run(): Result<ConfigurationVersion, ChangeError> {
            repeat(settings.changeTries) { n ->
                if (n > 0) delay(backoff(n))
                val outcome = tryOnce()
                if (outcome != null) return outcome
            }
            return Err(if (unsettled == null) ChangeError.Unavailable(lastMessage) else ChangeError.Uncertain(lastMessage))
        }

        private suspend fun tryOnce(): Result<ConfigurationVersion, ChangeError>? {
            val head =
                record.read().getOrElse {
                    lastMessage = it.message
                    return null
                }
            learned(head)
            head.configuration.versionMadeBy(attempt)?.let { return Ok(it) }
            if (hasMissed(head)) unsettled = null
            val next =
                decide(newer(head.configuration, held())).getOrElse {
                    return Err(if (unsettled == null) ChangeError.Refused(it) else ChangeError.Uncertain(lastMessage))
                }
            return write(head, next)
        }

        private suspend fun write(
            head: Head,
            next: Configuration,
        ): Result<ConfigurationVersion, ChangeError>? {
            val value = ConfigurationCodec.encode(next)
            if (value.length > MAX_VALUE_BYTES) return Err(ChangeError.Refused(tooLarge(value.length)))
            val outcome =
                record.replace(head.revision, value).getOrElse {
                    lastMessage = it.message
                    if (it is StoreError.Uncertain) unsettled = head
                    return null
                }
            return when (outcome) {
                is SwapOutcome.Written -> {
                    learned(Head(outcome.revision, next))
                    Ok(next.version)
                }

                is SwapOutcome.Conflict -> {
                    lastMessage = "other changes came first each time"
                    null
                }
            }
        }

        /** Whether the unsettled write can't have happened and can't happen any more, given that [head] does not name it. */
        private fun hasMissed(head: Head): Boolean {
            val earlier = unsettled ?: return false
            val passed = head.configuration.version.value - earlier.configuration.version.value
            return head.revision > earlier.revision && passed in 1..RECENT_ATTEMPTS_KEPT
        }
    }

    private fun tooLarge(length: Int) =
        ChangeRefusal.InvalidFile(listOf(Problem("$", "a file of at most $MAX_VALUE_BYTES bytes when compressed", "$length bytes")))

    private fun backoff(n: Int): Long {
        val ceiling = settings.backoffMillis shl (n - 1)
        return ceiling / 2 + random.nextLong(ceiling / 2 + 1)
    }
}
