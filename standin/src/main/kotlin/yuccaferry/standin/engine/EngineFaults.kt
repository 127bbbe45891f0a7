// Faults of the engine stand-in.
package yuccaferry.standin.engine

import kotlinx.serialization.Serializable

/**
 * Faults set at run time. Piece numbers are those of the stream.
 *
 * @property hang accepts a request, holds its memory and never answers.
 * @property dieAfterPieces breaks the connection after that many pieces; 0 breaks it at the end of prefill.
 * @property slowFactor prefill and decode take this many times longer, for all requests while it is set.
 * @property dropPiece number of a piece that is not sent.
 * @property duplicatePiece number of a piece that is sent twice.
 * @property crossRequestIds pieces carry the id and the text of another request.
 * @property truncate ends the stream cleanly after that many pieces, without a finish.
 * @property lateMs holds the first event of each stream back.
 * @property turnCold makes a warm engine cold, once, without a new incarnation.
 * @property crash crashes the engine, once.
 * @property times requests that have the faults of single requests; null for all.
 */
@Serializable
internal data class EngineFaults(
    val hang: Boolean = false,
    val dieAfterPieces: Int? = null,
    val slowFactor: Double = 1.0,
    val dropPiece: Int? = null,
    val duplicatePiece: Int? = null,
    val crossRequestIds: Boolean = false,
    val truncate: Int? = null,
    val lateMs: Long = 0,
    val turnCold: Boolean = false,
    val crash: Boolean = false,
    val times: Int? = null,
) {
    /** Whether requests have these faults still. */
    val used: Boolean get() = times != null && times <= 0
}
