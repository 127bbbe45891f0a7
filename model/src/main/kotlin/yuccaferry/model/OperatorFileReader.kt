// Parses and validates an operators' file.
package yuccaferry.model

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import yuccaferry.model.json.readStrictJson

/** Parses and validates [text]; the error is the non-empty list of all problems found. */
fun readOperatorFile(text: String): Result<OperatorFile, List<Problem>> =
    readStrictJson<OperatorFile>(text).flatMap { file ->
        val problems = validate(file)
        if (problems.isEmpty()) Ok(file) else Err(problems)
    }
