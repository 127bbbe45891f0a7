// Faults of the engine stand-in.
package yuccaferry.standin.engine

import kotlinx.serialization.Serializable

/**
 * Faults that are set at run time. Pieces are identified by their number in the stream.
 *
 * @property hang the engine accepts a request, holds its memory and never responds.
 * @property dieAfterPieces closes the connection after that many pieces; 0 closes it at the end of prefill.
 * @property slowFactor factor by which prefill and decode take longer, for all requests while it is set.
 * @property dropPiece number of a piece that is not sent.
 * @property duplicatePiece number of a piece that is sent twice.
 * @property crossRequestIds sends pieces with the id and the text of another request.
 * @property truncate ends the stream cleanly after that many pieces, without a finish.
 * @property lateMs delay before the first event of each stream.
 * @property turnCold makes a warm engine cold, once, without a new incarnation.
 * @property crash crashes the engine, once.
 * @property times number of further requests to which the per-request faults apply; null for all.
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
    /** Whether no request is left to which the faults apply. */
    val exhausted: Boolean get() = times != null && times <= 0
}
