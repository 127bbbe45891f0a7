// JSON formats of the stand-ins: field names in snake case, absent rather than null.
package yuccaferry.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** Format of calls and answers: unknown fields of a request are ignored, as other products do. */
@OptIn(ExperimentalSerializationApi::class)
internal val standInJson =
    Json {
        namingStrategy = JsonNamingStrategy.SnakeCase
        encodeDefaults = true
        explicitNulls = false
        ignoreUnknownKeys = true
        isLenient = true
    }

/** Format of fault settings: an unknown field is an error, so that a mistyped fault is not silently absent. */
@OptIn(ExperimentalSerializationApi::class)
internal val faultJson =
    Json(standInJson) {
        ignoreUnknownKeys = false
    }
