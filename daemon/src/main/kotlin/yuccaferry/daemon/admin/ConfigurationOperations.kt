// What operators can do with the configuration through one daemon.
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

/** The configuration's part of the admin API. */
interface ConfigurationOperations {
    /** The configuration in force at this daemon. */
    fun current(): Configuration

    /** Replaces the file, written against version [base]. A repeat with the same attempt id has no further effect. */
    suspend fun apply(
        file: OperatorFile,
        base: ConfigurationVersion,
        author: ChangeAuthor,
    ): Result<ChangeAnswer, ChangeError>

    /** Takes [zone] out of service or back in. A repeat with the same attempt id has no further effect. */
    suspend fun setZone(
        zone: ZoneName,
        out: Boolean,
        author: ChangeAuthor,
    ): Result<ChangeAnswer, ChangeError>

    /** What applying [file] would change here. */
    fun diff(file: OperatorFile): FileDiff

    /** The version in force at each daemon that this one knows. */
    suspend fun fleet(): FleetAnswer
}
