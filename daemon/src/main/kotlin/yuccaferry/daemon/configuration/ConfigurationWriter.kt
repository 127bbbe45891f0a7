/*
 * Writes changes to the head record. Every write is a compare-and-swap on the revision that was
 * read, and carries the change's attempt id; after a lost answer the record is read again and the
 * attempt id is looked up in it. A retry at the same revision is safe because at most one write can
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

/** Maximum size of a value in the key-value service. */
private const val MAX_VALUE_BYTES = 1_000_000

private typealias Decision = (Configuration) -> Result<Configuration, ChangeRefusal>

/** Makes changes to the configuration; passes every head that it reads or writes to [onHead]. */
internal class ConfigurationWriter(
    private val record: HeadRecord,
    private val settings: ConfigurationSettings,
    private val random: Random,
    private val held: () -> Configuration,
    private val onHead: (Head) -> Unit,
) {
    /** Makes one change and returns the resulting version. */
    suspend fun change(
        attempt: AttemptId,
        decide: Decision,
    ): Result<ConfigurationVersion, ChangeError> = OneChange(attempt, decide).run()

    private inner class OneChange(
        private val attempt: AttemptId,
        private val decide: Decision,
    ) {
        /** The head that a write with unknown outcome replaces if it takes effect. */
        private var uncertainBase: Head? = null
        private var lastMessage = ""

        suspend fun run(): Result<ConfigurationVersion, ChangeError> {
            repeat(settings.changeTries) { n ->
                if (n > 0) delay(backoff(n))
                val outcome = tryOnce()
                if (outcome != null) return outcome
            }
            return Err(if (uncertainBase == null) ChangeError.Unavailable(lastMessage) else ChangeError.Uncertain(lastMessage))
        }

        private suspend fun tryOnce(): Result<ConfigurationVersion, ChangeError>? {
            val head =
                record.read().getOrElse {
                    lastMessage = it.message
                    return null
                }
            onHead(head)
            head.configuration.versionMadeBy(attempt)?.let { return Ok(it) }
            if (isRuledOut(head)) uncertainBase = null
            val next =
                decide(newer(head.configuration, held())).getOrElse {
                    return Err(if (uncertainBase == null) ChangeError.Refused(it) else ChangeError.Uncertain(lastMessage))
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
                    if (it is StoreError.Uncertain) uncertainBase = head
                    return null
                }
            return when (outcome) {
                is SwapOutcome.Written -> {
                    onHead(Head(outcome.revision, next))
                    Ok(next.version)
                }

                is SwapOutcome.Conflict -> {
                    lastMessage = "another change was written first"
                    null
                }
            }
        }

        /** Whether the write over [uncertainBase] had no effect and can't have one any more, given that [head] lacks its attempt id. */
        private fun isRuledOut(head: Head): Boolean {
            val earlier = uncertainBase ?: return false
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
