// Transfers the grants of a shard between holders, and rebuilds them when the previous holder is gone.
package yuccaferry.daemon.grants

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import yuccaferry.daemon.control.ShardGrants
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.shards.ShardId
import yuccaferry.model.Epoch
import yuccaferry.model.TargetKind

/** Exports, imports and recovers grants of [decider] when the holder of a shard changes. */
class GrantTransfer(
    private val decider: GrantDecider,
    private val observer: TargetObserver,
    private val telemetry: Telemetry,
) : ShardGrants {
    override suspend fun export(shard: ShardId): ByteArray = Json.encodeToString(decider.export(shard)).encodeToByteArray()

    override suspend fun import(
        shard: ShardId,
        epoch: Epoch,
        grants: ByteArray,
    ) {
        try {
            decider.import(Json.decodeFromString(grants.decodeToString()))
        } catch (e: SerializationException) {
            telemetry.event("grants_unreadable", Field("seat", shard), Field("error", e.message), severity = Severity.ERROR)
        }
        recover(shard, epoch)
    }

    /** Observes each engine of [shard]. No more is needed: engines list exactly what they hold, and unused grants have expired. */
    override suspend fun recover(
        shard: ShardId,
        epoch: Epoch,
    ) = coroutineScope {
        val engines = decider.targetsOf(shard).filter { it.kind == TargetKind.ENGINE }
        engines.map { launch { observer.observe(it) } }.joinAll()
    }

    override fun discard(shard: ShardId) = decider.dropShard(shard)
}
