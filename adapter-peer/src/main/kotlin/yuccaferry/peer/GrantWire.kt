// Protobuf messages about grants: flat, with fields numbered by position, so that a grant takes some hundred bytes.
package yuccaferry.peer

import kotlinx.serialization.Serializable
import yuccaferry.daemon.port.GrantAnswer
import yuccaferry.daemon.port.GrantRequest
import yuccaferry.daemon.port.ReleaseNotice
import yuccaferry.decisions.grants.AllocationRequest
import yuccaferry.decisions.grants.Denial
import yuccaferry.decisions.grants.TargetSummary
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.model.AccountName
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId

@Serializable
internal class WireGrantRequest(
    val target: String,
    val request: String,
    val owner: String,
    val account: String,
    val holdTokens: Long,
    val prefillTokens: Long,
    val long: Boolean,
    val priority: Int,
    val weight: Int,
    val timeLeftMillis: Long,
    val waitMillis: Long,
    val configuration: Long,
)

@Serializable
internal class WireGrantAnswer(
    val kind: Int,
    val configuration: Long,
    val epoch: Long = 0,
    val queuedMillis: Long = 0,
    val denial: Int = 0,
    val summary: WireSummary? = null,
)

@Serializable
internal class WireSummary(
    val target: String,
    val running: Int,
    val waiting: Int,
    val room: Int,
    val heldTokens: Long,
    val prefillTokens: Long,
    val longPrefills: Int,
    val warm: Boolean,
    val open: Boolean,
)

@Serializable
internal class WireSummaries(
    val summaries: List<WireSummary> = emptyList(),
)

@Serializable
internal class WireRelease(
    val target: String,
    val request: String,
    val outcome: Int,
)

@Serializable
internal class WireEmpty

private const val GRANTED = 1
private const val DENIED = 2
private const val NOT_DECIDING = 3

internal fun GrantRequest.toWire() =
    WireGrantRequest(
        target = target.value,
        request = allocation.id.value,
        owner = allocation.owner.value,
        account = allocation.account.value,
        holdTokens = allocation.holdTokens,
        prefillTokens = allocation.prefillTokens,
        long = allocation.long,
        priority = allocation.priority,
        weight = allocation.weight,
        timeLeftMillis = allocation.timeLeftMillis,
        waitMillis = waitMillis,
        configuration = configuration.value,
    )

internal fun WireGrantRequest.toDomain() =
    GrantRequest(
        target = TargetId(target),
        allocation =
            AllocationRequest(
                id = RequestId(request),
                owner = DaemonId(owner),
                account = AccountName(account),
                holdTokens = holdTokens,
                prefillTokens = prefillTokens,
                long = long,
                priority = priority,
                weight = weight,
                timeLeftMillis = timeLeftMillis,
            ),
        waitMillis = waitMillis,
        configuration = ConfigurationVersion(configuration),
    )

internal fun GrantAnswer.toWire(): WireGrantAnswer {
    val version = configuration.value
    return when (this) {
        is GrantAnswer.Granted -> WireGrantAnswer(GRANTED, version, epoch.value, queuedMillis, summary = summary.toWire())
        is GrantAnswer.Denied -> WireGrantAnswer(DENIED, version, denial = denial.ordinal, summary = summary.toWire())
        is GrantAnswer.NotDeciding -> WireGrantAnswer(NOT_DECIDING, version)
    }
}

internal fun WireGrantAnswer.toDomain(): GrantAnswer {
    val version = ConfigurationVersion(configuration)
    val state = summary?.toDomain()
    return when {
        kind == GRANTED && state != null -> GrantAnswer.Granted(version, Epoch(epoch), queuedMillis, state)
        kind == DENIED && state != null -> GrantAnswer.Denied(version, Denial.entries.getOrElse(denial) { Denial.UNAVAILABLE }, state)
        else -> GrantAnswer.NotDeciding(version)
    }
}

internal fun TargetSummary.toWire() = WireSummary(target.value, running, waiting, room, heldTokens, prefillTokens, longPrefills, warm, open)

internal fun WireSummary.toDomain() =
    TargetSummary(TargetId(target), running, waiting, room, heldTokens, prefillTokens, longPrefills, warm, open)

internal fun ReleaseNotice.toWire() = WireRelease(target.value, request.value, outcome.ordinal)

internal fun WireRelease.toDomain() = ReleaseNotice(TargetId(target), RequestId(request), UseOutcome.entries[outcome])
