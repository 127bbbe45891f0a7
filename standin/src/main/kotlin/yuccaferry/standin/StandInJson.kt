// JSON formats of the stand-ins. Field names are in snake case, and null fields are omitted.
package yuccaferry.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** Format of requests and responses. Unknown fields of a request are ignored, as the replaced products do. */
@OptIn(ExperimentalSerializationApi::class)
internal val standInJson =
    Json {
        namingStrategy = JsonNamingStrategy.SnakeCase
        encodeDefaults = true
        explicitNulls = false
        ignoreUnknownKeys = true
        isLenient = true
    }

/** Format of fault settings. An unknown field is an error, so that a mistyped fault is not silently ignored. */
@OptIn(ExperimentalSerializationApi::class)
internal val faultJson =
    Json(standInJson) {
        ignoreUnknownKeys = false
    }
