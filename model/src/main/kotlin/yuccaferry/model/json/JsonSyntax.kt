// Checks the syntax of a JSON text (RFC 8259) and reports line and column of the first error; a repeated field is an error too.
package yuccaferry.model.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.StreamReadFeature
import yuccaferry.model.Problem

private val factory: JsonFactory = JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build()

/** Returns the first syntax error in [text], or null when there is none. */
internal fun syntaxProblem(text: String): Problem? =
    factory.createParser(text).use { parser ->
        try {
            firstProblem(parser)
        } catch (e: JsonProcessingException) {
            val place = e.location
            Problem("line ${place?.lineNr}, column ${place?.columnNr}", "valid JSON", "a fault: ${e.originalMessage}")
        }
    }

private fun firstProblem(parser: JsonParser): Problem? {
    if (parser.nextToken() == null) return Problem("line 1, column 1", "a JSON document", "nothing")
    parser.skipChildren()
    if (parser.nextToken() == null) return null
    val place = parser.currentTokenLocation()
    return Problem("line ${place.lineNr}, column ${place.columnNr}", "the end of the document", "more text")
}
