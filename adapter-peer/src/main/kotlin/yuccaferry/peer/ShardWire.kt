// Protobuf messages about shards and leases: flat, with fields numbered by position.
package yuccaferry.peer

import kotlinx.serialization.Serializable
import yuccaferry.decisions.shards.HandOverAnswer
import yuccaferry.decisions.shards.HandOverRequest
import yuccaferry.decisions.shards.LeaseExtensionAnswer
import yuccaferry.decisions.shards.LeaseExtensionRequest
import yuccaferry.decisions.shards.LeaseHolder
import yuccaferry.decisions.shards.PromiseAnswer
import yuccaferry.decisions.shards.PromiseRequest
import yuccaferry.decisions.shards.RefusalReason
import yuccaferry.decisions.shards.Session
import yuccaferry.decisions.shards.ShardId
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.RegionName
import yuccaferry.model.ShardNumber

@Serializable
internal class WireExtendLease(
    val daemon: String,
    val session: Long,
    val roster: Long,
    val configuration: Long,
)

/** Answers a [WireExtendLease]; [refusal] is null when the voter extended the lease. */
@Serializable
internal class WireExtendLeaseAnswer(
    val configuration: Long,
    val refusal: RefusalReason? = null,
)

/** Requests a promise that fences the holder [daemon], or all voter sets up to version [roster] when [daemon] is null. */
@Serializable
internal class WirePromise(
    val daemon: String? = null,
    val session: Long = 0,
    val roster: Long = 0,
)

/** Answers a [WirePromise]; [refusal] is null when the voter promised. */
@Serializable
internal class WirePromiseAnswer(
    val remainingMillis: Long = 0,
    val refusal: RefusalReason? = null,
)

@Serializable
internal class WireHandOver(
    val region: String,
    val number: Int,
    val epoch: Long,
    val revision: Long,
    val daemon: String,
    val session: Long,
    val grants: ByteArray,
)

@Serializable
internal class WireHandOverAnswer(
    val answer: HandOverAnswer,
)

internal fun LeaseExtensionRequest.toWire() =
    WireExtendLease(holder.daemon.value, holder.session.value, voterSetVersion, configuration.value)

internal fun WireExtendLease.toDomain() =
    LeaseExtensionRequest(LeaseHolder(DaemonId(daemon), Session(session)), roster, ConfigurationVersion(configuration))

internal fun LeaseExtensionAnswer.toWire() =
    when (this) {
        is LeaseExtensionAnswer.Extended -> WireExtendLeaseAnswer(configuration.value)
        is LeaseExtensionAnswer.Refused -> WireExtendLeaseAnswer(configuration.value, reason)
    }

internal fun WireExtendLeaseAnswer.toDomain(): LeaseExtensionAnswer {
    val version = ConfigurationVersion(configuration)
    return if (refusal == null) LeaseExtensionAnswer.Extended(version) else LeaseExtensionAnswer.Refused(version, refusal)
}

internal fun PromiseRequest.toWire() =
    when (this) {
        is PromiseRequest.FenceHolder -> WirePromise(daemon = holder.daemon.value, session = holder.session.value)
        is PromiseRequest.FenceVoters -> WirePromise(roster = version)
    }

internal fun WirePromise.toDomain(): PromiseRequest =
    if (daemon == null) PromiseRequest.FenceVoters(roster) else PromiseRequest.FenceHolder(LeaseHolder(DaemonId(daemon), Session(session)))

internal fun PromiseAnswer.toWire() =
    when (this) {
        is PromiseAnswer.Promised -> WirePromiseAnswer(remainingMillis)
        is PromiseAnswer.Refused -> WirePromiseAnswer(refusal = reason)
    }

internal fun WirePromiseAnswer.toDomain(): PromiseAnswer =
    if (refusal == null) PromiseAnswer.Promised(remainingMillis) else PromiseAnswer.Refused(refusal)

internal fun HandOverRequest.toWire() =
    WireHandOver(
        region = shard.region.value,
        number = shard.number.value,
        epoch = epoch.value,
        revision = revision,
        daemon = from.daemon.value,
        session = from.session.value,
        grants = grants,
    )

internal fun WireHandOver.toDomain() =
    HandOverRequest(
        shard = ShardId(RegionName(region), ShardNumber(number)),
        epoch = Epoch(epoch),
        revision = revision,
        from = LeaseHolder(DaemonId(daemon), Session(session)),
        grants = grants,
    )
