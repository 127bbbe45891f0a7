// Operator calls on the configuration.
package yuccaferry.daemon.admin

import com.github.michaelbull.result.Result
import yuccaferry.daemon.configuration.ChangeError
import yuccaferry.decisions.configuration.ChangeAuthor
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.OperatorFile
import yuccaferry.model.ZoneName
import yuccaferry.model.admin.ChangeAnswer
import yuccaferry.model.admin.FileDiff
import yuccaferry.model.admin.FleetAnswer

/** The calls of the admin API that concern the configuration. */
interface ConfigurationOperations {
    /** The configuration in force at this daemon. */
    fun current(): Configuration

    /** Replaces the file, written against version [base]. A repeated call with the same attempt id has no further effect. */
    suspend fun apply(
        file: OperatorFile,
        base: ConfigurationVersion,
        author: ChangeAuthor,
    ): Result<ChangeAnswer, ChangeError>

    /** Takes [zone] out of service or back in. A repeated call with the same attempt id has no further effect. */
    suspend fun setZone(
        zone: ZoneName,
        out: Boolean,
        author: ChangeAuthor,
    ): Result<ChangeAnswer, ChangeError>

    /** Lists the changes that applying [file] would make to the configuration in force at this daemon. */
    fun diff(file: OperatorFile): FileDiff

    /** Collects the version in force at each daemon known to this one; null for a daemon that does not answer. */
    suspend fun fleet(): FleetAnswer
}
