// Shortens the ids of prompt parts, so that what is kept and told of a part doesn't depend on what callers call it.
package yuccaferry.decisions.quarantine

import yuccaferry.decisions.placement.stableHash
import yuccaferry.model.PromptPart
import java.util.HexFormat

/** Returns the part that callers name [id]; a long id is replaced by its 64-bit hash, which is the same on every daemon. */
fun promptPartOf(id: String): PromptPart = PromptPart(if (id.length <= MAX_CHARS) id else HexFormat.of().toHexDigits(stableHash(id)))

/** Most characters of a part's id that are kept: those of a 64-bit hash. */
private const val MAX_CHARS = 16
