/*
 * The head record of the configuration at the key-value service. A read asks only for what was
 * written after the newest revision seen, so that an unchanged record costs a few bytes.
 */
package yuccaferry.daemon.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.mapError
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.StoreError
import yuccaferry.daemon.port.StoredValue
import yuccaferry.daemon.port.SwapOutcome
import yuccaferry.model.Configuration

/** Key of the head record. */
const val CONFIGURATION_KEY = "yuccaferry/configuration"

/**
 * The record as it was read.
 *
 * @property revision the key's revision, zero when it is absent.
 */
internal data class Head(
    val revision: Long,
    val configuration: Configuration,
)

/** Why the head record could not be read. */
internal sealed interface HeadError {
    val message: String

    /** The key-value service gave no answer. */
    data class Unavailable(
        val cause: StoreError,
    ) : HeadError {
        override val message get() = cause.message
    }

    /** The stored value is no configuration that this release understands. */
    data class Unreadable(
        val revision: Long,
    ) : HeadError {
        override val message get() = "the value at revision $revision is no configuration"
    }

    /** The store answered from a time before what it has confirmed already, as after a restore from a backup. */
    data class WentBack(
        val revision: Long,
    ) : HeadError {
        override val message get() = "the store is back at revision $revision"
    }
}

internal class HeadRecord(
    private val store: KeyValueStore,
) {
    /** Reads the record whatever its revision. */
    suspend fun read(): Result<Head, HeadError> =
        store.read(CONFIGURATION_KEY).mapError { HeadError.Unavailable(it) }.flatMap { decode(it) }

    /** Reads the record if it was written after [known], else returns [known] itself. */
    suspend fun readAfter(known: Head): Result<Head, HeadError> =
        store.readPrefix(CONFIGURATION_KEY, known.revision).mapError { HeadError.Unavailable(it) }.flatMap { snapshot ->
            val value = snapshot.values.firstOrNull { it.key == CONFIGURATION_KEY }
            when {
                snapshot.revision < known.revision -> Err(HeadError.WentBack(snapshot.revision))
                value == null -> Ok(known)
                else -> decode(value)
            }
        }

    suspend fun replace(
        expectedRevision: Long,
        value: String,
    ): Result<SwapOutcome, StoreError> = store.compareAndSwap(CONFIGURATION_KEY, expectedRevision, value)

    private fun decode(value: StoredValue?): Result<Head, HeadError> {
        if (value == null) return Ok(Head(0, Configuration.EMPTY))
        val configuration = ConfigurationCodec.decode(value.value) ?: return Err(HeadError.Unreadable(value.revision))
        return Ok(Head(value.revision, configuration))
    }
}
