// Operators' changes of the configuration through one daemon: written, logged, and announced to the other daemons.
package yuccaferry.daemon.configuration

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import yuccaferry.daemon.admin.ConfigurationOperations
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.configuration.ChangeAuthor
import yuccaferry.decisions.configuration.diff
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.OperatorFile
import yuccaferry.model.ZoneName
import yuccaferry.model.admin.ChangeAnswer
import yuccaferry.model.admin.FileDiff
import yuccaferry.model.admin.FleetAnswer

/** Reads and changes of the configuration by operators through this daemon. */
class ConfigurationChanges(
    private val replica: ConfigurationReplica,
    private val announcer: ConfigurationAnnouncer,
    private val telemetry: Telemetry,
) : ConfigurationOperations {
    override fun current(): Configuration = replica.current

    override suspend fun apply(
        file: OperatorFile,
        base: ConfigurationVersion,
        author: ChangeAuthor,
    ): Result<ChangeAnswer, ChangeError> = announceAndLog("apply", author, replica.apply(file, base, author))

    override suspend fun setZone(
        zone: ZoneName,
        out: Boolean,
        author: ChangeAuthor,
    ): Result<ChangeAnswer, ChangeError> =
        announceAndLog(if (out) "zone_out $zone" else "zone_in $zone", author, replica.setZone(zone, out, author))

    override fun diff(file: OperatorFile): FileDiff {
        val current = replica.current
        return FileDiff(current.version, diff(current.file, file))
    }

    override suspend fun fleet(): FleetAnswer = FleetAnswer(replica.current.version, announcer.fleet())

    private suspend fun announceAndLog(
        change: String,
        author: ChangeAuthor,
        written: Result<ConfigurationVersion, ChangeError>,
    ): Result<ChangeAnswer, ChangeError> =
        written
            .map { ChangeAnswer(it, announcer.announce(it)) }
            .onSuccess { answer ->
                telemetry.event(
                    "configuration_changed",
                    Field("change", change),
                    Field("operator", author.operator),
                    Field("attempt", author.attempt),
                    Field("version", answer.version),
                    Field("state", answer.state),
                )
            }.onFailure { error ->
                telemetry.event(
                    "configuration_change_failed",
                    Field("change", change),
                    Field("operator", author.operator),
                    Field("attempt", author.attempt),
                    Field("error", error),
                    severity = Severity.WARN,
                )
            }
}
