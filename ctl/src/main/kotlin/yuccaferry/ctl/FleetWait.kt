// Waits until a version is in force on every daemon, and tells how far it has come.
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

private const val ASK_MILLIS = 250L

/** What a change came to. `inForce` and `daemons` are null when it was not waited for. */
@Serializable
internal data class ChangeReport(
    val version: ConfigurationVersion,
    val state: ChangeState,
    val inForce: Int? = null,
    val daemons: Int? = null,
)

/** Prints what [answer] came to, after waiting for every daemon if [seconds] is given, and returns the exit code. */
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
    val missing = members.filter { !has(it, answer.version) }
    val complete = members.isNotEmpty() && missing.isEmpty()
    val report =
        ChangeReport(
            version = answer.version,
            state = if (complete) ChangeState.ACCEPTED else answer.state,
            inForce = members.size - missing.size,
            daemons = members.size,
        )
    val missed = if (complete) "" else "; not after $seconds s: ${describeMissing(missing)}"
    print(report, "version ${answer.version} in force on ${report.inForce} of ${members.size} daemons$missed")
    return if (complete) ExitCode.OK else ExitCode.PENDING
}

private suspend fun Session.awaitFleet(
    version: ConfigurationVersion,
    seconds: Int,
): List<FleetMember> {
    var members = emptyList<FleetMember>()
    var shown = -1
    withTimeoutOrNull(seconds * 1_000L) {
        while (true) {
            members = client.get<FleetAnswer>("/v1/fleet").get()?.members ?: members
            val count = members.count { has(it, version) }
            if (count != shown) note("version $version in force on $count of ${members.size} daemons")
            shown = count
            if (members.isNotEmpty() && count == members.size) break
            delay(ASK_MILLIS)
        }
    }
    return members
}

private fun has(
    member: FleetMember,
    version: ConfigurationVersion,
) = member.version?.let { it >= version } ?: false

private fun describeMissing(missing: List<FleetMember>) =
    missing.joinToString { "${it.address} (${it.version?.let { version -> "version $version" } ?: "unreachable"})" }
