// Exit codes of the command line, listed in docs/operators.md.
package yuccaferry.ctl

import yuccaferry.model.admin.AdminErrorCode

/** How a command ended. */
enum class ExitCode(
    val code: Int,
) {
    OK(0),
    FAILED(1),
    USAGE(2),
    INVALID_FILE(3),
    CONFLICT(4),
    PENDING(5),
    UNREACHABLE(6),
    UNAUTHORISED(7),
}

internal fun exitCodeOf(code: AdminErrorCode): ExitCode =
    when (code) {
        AdminErrorCode.UNAUTHORISED -> ExitCode.UNAUTHORISED
        AdminErrorCode.CONFLICT -> ExitCode.CONFLICT
        AdminErrorCode.INVALID_FILE -> ExitCode.INVALID_FILE
        AdminErrorCode.OUTCOME_UNKNOWN -> ExitCode.PENDING
        else -> ExitCode.FAILED
    }
