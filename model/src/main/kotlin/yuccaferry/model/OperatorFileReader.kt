// Reads the text of an operators' file and checks it whole.
package yuccaferry.model

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import yuccaferry.model.json.readStrictJson

/** Reads [text]; the error is the list of all problems that were found, which is never empty. */
fun readOperatorFile(text: String): Result<OperatorFile, List<Problem>> =
    readStrictJson<OperatorFile>(text).flatMap { file ->
        val problems = validate(file)
        if (problems.isEmpty()) Ok(file) else Err(problems)
    }
