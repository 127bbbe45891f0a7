// A key-value store in memory with outages, lost answers and late writes, driven by a seed.
package yuccaferry.daemon.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.LeaseId
import yuccaferry.daemon.port.PrefixSnapshot
import yuccaferry.daemon.port.StoreError
import yuccaferry.daemon.port.StoredValue
import yuccaferry.daemon.port.SwapOutcome
import kotlin.random.Random

private const val LATE_MILLIS = 2_000L

/** Effect of a write whose answer is lost. */
internal enum class LostWrite { APPLIED, DROPPED, APPLIED_LATE }

/**
 * A key-value store in memory.
 *
 * @property lateWrites scope in which writes are applied after their answer was lost.
 * @property nextLostWrite chooses for each write whether its answer is lost.
 * @property written every write that took effect, in order.
 * @property valuesSent number of values that reads of a prefix returned.
 */
internal class FakeStore(
    private val random: Random = Random(1),
    private val lateWrites: CoroutineScope? = null,
) : KeyValueStore {
    private val values = mutableMapOf<String, StoredValue>()
    private var revision = 1L
    var nextLostWrite: () -> LostWrite? = { null }
    var unavailable = false
    var refusesWrites = false
    val written = mutableListOf<StoredValue>()
    var valuesSent = 0

    override suspend fun read(key: String): Result<StoredValue?, StoreError> {
        pause()
        if (unavailable) return Err(StoreError.NotApplied("unavailable"))
        val value = values[key]
        pause()
        return Ok(value)
    }

    override suspend fun readPrefix(
        prefix: String,
        afterRevision: Long,
    ): Result<PrefixSnapshot, StoreError> {
        pause()
        if (unavailable) return Err(StoreError.NotApplied("unavailable"))
        val snapshot = PrefixSnapshot(revision, values.values.filter { it.key.startsWith(prefix) && it.revision > afterRevision })
        valuesSent += snapshot.values.size
        pause()
        return Ok(snapshot)
    }

    override suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
        lease: LeaseId?,
    ): Result<SwapOutcome, StoreError> {
        pause()
        if (unavailable || refusesWrites) return Err(StoreError.NotApplied("unavailable"))
        val lost = nextLostWrite() ?: return Ok(swap(key, expectedRevision, value)).also { pause() }
        when (lost) {
            LostWrite.APPLIED -> {
                swap(key, expectedRevision, value)
            }

            LostWrite.DROPPED -> {}

            LostWrite.APPLIED_LATE -> {
                lateWrites?.launch { swapLate(key, expectedRevision, value) }
            }
        }
        return Err(StoreError.Uncertain("answer lost"))
    }

    override suspend fun deleteIf(
        key: String,
        expectedRevision: Long,
    ) = Err(StoreError.NotApplied("not used"))

    override suspend fun grantLease(ttlSeconds: Long) = Err(StoreError.NotApplied("not used"))

    override suspend fun renewLease(lease: LeaseId) = Err(StoreError.NotApplied("not used"))

    override suspend fun revokeLease(lease: LeaseId) = Err(StoreError.NotApplied("not used"))

    private suspend fun swapLate(
        key: String,
        expectedRevision: Long,
        value: String,
    ) {
        delay(random.nextLong(LATE_MILLIS))
        swap(key, expectedRevision, value)
    }

    private fun swap(
        key: String,
        expectedRevision: Long,
        value: String,
    ): SwapOutcome {
        val current = values[key]
        if ((current?.revision ?: 0) != expectedRevision) return SwapOutcome.Conflict(current)
        revision++
        val stored = StoredValue(key, value, revision)
        values[key] = stored
        written += stored
        return SwapOutcome.Written(revision)
    }

    private suspend fun pause() = delay(random.nextLong(20))
}
