// Ends a command when a call fails.
package yuccaferry.ctl

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse

/** Returns the answer, or ends the command if the call failed; [path] names the file that was sent, if one was. */
internal fun <T> Result<T, CallError>.orFail(
    session: Session,
    path: String? = null,
): T = getOrElse { session.fail(it, path) }

internal fun Session.fail(
    error: CallError,
    path: String? = null,
): Nothing =
    when (error) {
        is CallError.Refused -> fail(error.error, path)
        is CallError.Unreachable -> throw CtlException(ExitCode.UNREACHABLE, "no daemon could be reached: ${error.message}")
        is CallError.Lost -> throw CtlException(ExitCode.UNREACHABLE, "the answer was lost: ${error.message}")
    }
