// Port to the orders by which memory of an engine is set aside for part of a prompt.
package yuccaferry.gateway.port

import yuccaferry.gateway.view.Target

/** What came of an order to set memory aside. */
enum class ReserveResult {
    /** The memory is set aside. */
    HELD,

    /** The engine refused; nothing is set aside. */
    REFUSED,

    /** No answer: the order may have been, or may still be, carried out. */
    UNKNOWN,
}

/** Sets aside memory of engines. */
interface EngineMemory {
    /** Sets aside memory for [tokens] tokens at [target] under [id] for [holdMillis]; the same id again renews it. */
    suspend fun reserve(
        target: Target,
        id: String,
        tokens: Long,
        holdMillis: Long,
    ): ReserveResult

    /** Gives the memory under [id] back; false when no answer says so. */
    suspend fun release(
        target: Target,
        id: String,
    ): Boolean
}
