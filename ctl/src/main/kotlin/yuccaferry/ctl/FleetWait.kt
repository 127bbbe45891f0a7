// Reports the result of a change; with `--wait`, first waits until its version is in force on every daemon.
package yuccaferry.ctl

import com.github.michaelbull.result.get
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.admin.ChangeAnswer
import yuccaferry.model.admin.ChangeState
import yuccaferry.model.admin.FleetAnswer
import yuccaferry.model.admin.FleetMember

private const val POLL_INTERVAL_MILLIS = 250L

/** Result of a change. [inForce] and [daemons] are null if the command did not wait for the fleet. */
@Serializable
internal data class ChangeReport(
    val version: ConfigurationVersion,
    val state: ChangeState,
    val inForce: Int? = null,
    val daemons: Int? = null,
)

/** Prints the result of [answer] and returns the exit code; waits up to [seconds] for every daemon unless it is null. */
internal suspend fun Session.finishChange(
    answer: ChangeAnswer,
    seconds: Int?,
): ExitCode {
    if (seconds == null) {
        val accepted = answer.state == ChangeState.ACCEPTED
        val hint = if (accepted) "" else "; stored, but too few daemons have confirmed it yet: see yuccaferryctl fleet"
        print(ChangeReport(answer.version, answer.state), "version ${answer.version} ${answer.state.name.lowercase()}$hint")
        return if (accepted) ExitCode.OK else ExitCode.PENDING
    }
    val members = awaitFleet(answer.version, seconds)
    val missing = members.filter { !hasInForce(it, answer.version) }
    val complete = members.isNotEmpty() && missing.isEmpty()
    val report =
        ChangeReport(
            version = answer.version,
            state = if (complete) ChangeState.ACCEPTED else answer.state,
            inForce = members.size - missing.size,
            daemons = members.size,
        )
    val missingHint = if (complete) "" else "; not after $seconds s: ${describeMissing(missing)}"
    print(report, "version ${answer.version} in force on ${report.inForce} of ${members.size} daemons$missingHint")
    return if (complete) ExitCode.OK else ExitCode.PENDING
}

private suspend fun Session.awaitFleet(
    version: ConfigurationVersion,
    seconds: Int,
): List<FleetMember> {
    var members = emptyList<FleetMember>()
    var lastCount = -1
    withTimeoutOrNull(seconds * 1_000L) {
        while (true) {
            members = client.get<FleetAnswer>("/v1/fleet").get()?.members ?: members
            val count = members.count { hasInForce(it, version) }
            if (count != lastCount) printProgress("version $version in force on $count of ${members.size} daemons")
            lastCount = count
            if (members.isNotEmpty() && count == members.size) break
            delay(POLL_INTERVAL_MILLIS)
        }
    }
    return members
}

private fun hasInForce(
    member: FleetMember,
    version: ConfigurationVersion,
) = member.version?.let { it >= version } ?: false

private fun describeMissing(missing: List<FleetMember>) =
    missing.joinToString { "${it.address} (${it.version?.let { version -> "version $version" } ?: "unreachable"})" }
