// Maps errors of the use cases to errors of the admin API.
package yuccaferry.http.admin

import yuccaferry.daemon.configuration.ChangeError
import yuccaferry.decisions.configuration.ChangeRefusal
import yuccaferry.model.Problem
import yuccaferry.model.admin.AdminError
import yuccaferry.model.admin.AdminErrorCode

internal fun adminError(error: ChangeError): AdminError =
    when (error) {
        is ChangeError.Refused -> {
            refusalError(error.refusal)
        }

        is ChangeError.Unavailable -> {
            AdminError(AdminErrorCode.STORE_UNAVAILABLE, "the change was not made: ${error.message}")
        }

        is ChangeError.Uncertain -> {
            AdminError(
                AdminErrorCode.OUTCOME_UNKNOWN,
                "the change may have been made; repeat it with the same X-Attempt-Id to learn the outcome: ${error.message}",
            )
        }
    }

internal fun invalidFile(problems: List<Problem>) =
    AdminError(AdminErrorCode.INVALID_FILE, "the file has ${problems.size} problem(s)", problems = problems)

private fun refusalError(refusal: ChangeRefusal): AdminError =
    when (refusal) {
        is ChangeRefusal.Conflict -> {
            AdminError(
                AdminErrorCode.CONFLICT,
                "another change came first; version ${refusal.current} stands",
                currentVersion = refusal.current,
                changes = refusal.changes,
            )
        }

        is ChangeRefusal.InvalidFile -> {
            invalidFile(refusal.problems)
        }

        is ChangeRefusal.UnknownZone -> {
            AdminError(AdminErrorCode.UNKNOWN_ZONE, "no zone ${refusal.zone}; known zones: ${refusal.known.joinToString()}")
        }
    }
