/*
 * The head record of the configuration in the key-value service. A poll asks only for a value that was
 * written after the newest known revision, so that a poll of an unchanged record transfers a few bytes.
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
 * The head record as read or written.
 *
 * @property revision revision of the key, zero when the key is absent.
 */
internal data class Head(
    val revision: Long,
    val configuration: Configuration,
)

/** Reason why the head record could not be read. */
internal sealed interface HeadError {
    val message: String

    /** The key-value service did not answer. */
    data class Unavailable(
        val cause: StoreError,
    ) : HeadError {
        override val message get() = cause.message
    }

    /** The stored value is not a configuration that this release can decode. */
    data class Unreadable(
        val revision: Long,
    ) : HeadError {
        override val message get() = "the value at revision $revision is not a valid configuration"
    }

    /** The store is at a lower revision than it returned before, for example after a restore from a backup. */
    data class RevisionDecreased(
        val revision: Long,
    ) : HeadError {
        override val message get() = "the store went back to revision $revision"
    }
}

/** Reads and replaces the head record. */
internal class HeadRecord(
    private val store: KeyValueStore,
) {
    /** Reads the record at any revision. */
    suspend fun read(): Result<Head, HeadError> =
        store.read(CONFIGURATION_KEY).mapError { HeadError.Unavailable(it) }.flatMap { decode(it) }

    /** Reads the record if it was written after [known]; returns [known] itself otherwise. */
    suspend fun readAfter(known: Head): Result<Head, HeadError> =
        store.readPrefix(CONFIGURATION_KEY, known.revision).mapError { HeadError.Unavailable(it) }.flatMap { snapshot ->
            val value = snapshot.values.firstOrNull { it.key == CONFIGURATION_KEY }
            when {
                snapshot.revision < known.revision -> Err(HeadError.RevisionDecreased(snapshot.revision))
                value == null -> Ok(known)
                else -> decode(value)
            }
        }

    /** Writes [value] if the record is still at [expectedRevision]. */
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
