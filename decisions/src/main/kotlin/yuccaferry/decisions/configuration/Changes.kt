/*
 * The changes that operators can make to the configuration. Each takes the current configuration and
 * returns the next one, or the reason why the change is refused. A change that alters nothing still
 * makes a new version: its write fences any earlier write whose answer was lost.
 */
package yuccaferry.decisions.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import yuccaferry.model.AttemptId
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.OperatorFile
import yuccaferry.model.Problem
import yuccaferry.model.RECENT_ATTEMPTS_KEPT
import yuccaferry.model.ZoneName
import yuccaferry.model.admin.FileChange
import yuccaferry.model.validate

/**
 * Author of a change.
 *
 * @property operator name of the operator, kept with the version.
 * @property attempt identifies the change through all its retries.
 */
data class ChangeAuthor(
    val operator: String,
    val attempt: AttemptId,
)

/** Reason why a change is refused. */
sealed interface ChangeRefusal {
    /** Another change came first; [changes] is what the refused file would change against version [current]. */
    data class Conflict(
        val current: ConfigurationVersion,
        val changes: List<FileChange>,
    ) : ChangeRefusal

    /** The file has faults. */
    data class InvalidFile(
        val problems: List<Problem>,
    ) : ChangeRefusal

    /** The file in force has no zone named [zone]; its zones are [known]. */
    data class UnknownZone(
        val zone: ZoneName,
        val known: List<ZoneName>,
    ) : ChangeRefusal
}

/**
 * Replaces the whole file of [current] by [file], which was written against version [base].
 * Zones that are out of service stay out, except those that the new file doesn't declare.
 */
fun applyFile(
    current: Configuration,
    file: OperatorFile,
    base: ConfigurationVersion,
    author: ChangeAuthor,
): Result<Configuration, ChangeRefusal> {
    val problems = validate(file)
    if (problems.isNotEmpty()) return Err(ChangeRefusal.InvalidFile(problems))
    if (base != current.version) return Err(ChangeRefusal.Conflict(current.version, diff(current.file, file)))
    val names = file.zones.map { it.name }.toSet()
    return Ok(successor(current, author).copy(file = file, zonesOut = current.zonesOut intersect names))
}

/** Takes [zone] out of service, or back in. Needs no base version, because it commutes with every change except its own opposite. */
fun setZone(
    current: Configuration,
    zone: ZoneName,
    out: Boolean,
    author: ChangeAuthor,
): Result<Configuration, ChangeRefusal> {
    val known = current.file.zones.map { it.name }
    if (zone !in known) return Err(ChangeRefusal.UnknownZone(zone, known))
    val zonesOut = if (out) current.zonesOut + zone else current.zonesOut - zone
    return Ok(successor(current, author).copy(zonesOut = zonesOut))
}

/** Returns [received] if its version is higher than that of [current], else [current]. */
fun newer(
    current: Configuration,
    received: Configuration,
): Configuration = if (received.version > current.version) received else current

private fun successor(
    current: Configuration,
    author: ChangeAuthor,
): Configuration {
    val earlier = if (current.version == ConfigurationVersion.NONE) emptyList() else listOf(current.attempt) + current.recentAttempts
    return current.copy(
        version = ConfigurationVersion(current.version.value + 1),
        appliedBy = author.operator,
        attempt = author.attempt,
        recentAttempts = earlier.take(RECENT_ATTEMPTS_KEPT),
    )
}
