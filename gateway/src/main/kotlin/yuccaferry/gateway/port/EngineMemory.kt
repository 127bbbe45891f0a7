// Port through which an engine's memory is reserved for part of a prompt.
package yuccaferry.gateway.port

import yuccaferry.gateway.view.Target

/** Result of an attempt to reserve memory. */
enum class ReserveResult {
    /** The memory is reserved. */
    HELD,

    /** The engine refused; nothing is reserved. */
    REFUSED,

    /** No answer arrived: the engine may have reserved the memory, or may still do so. */
    UNKNOWN,
}

/** Use of a reservation, as its engine reports it. */
enum class MemoryUse {
    /** A request uses the memory. */
    IN_USE,

    /** The engine lists no use of the memory: the request still reads its prompt, has ended, or the reservation is gone. */
    UNUSED,

    /** The engine gave no readable answer. */
    UNKNOWN,
}

/** Reserves memory of engines. */
interface EngineMemory {
    /** Reserves memory for [tokens] tokens at [target] under [id] for [holdMillis]; a call with the same id renews the reservation. */
    suspend fun reserve(
        target: Target,
        id: String,
        tokens: Long,
        holdMillis: Long,
    ): ReserveResult

    /** Releases the memory reserved under [id]; returns false if no answer arrives, so that it may still be reserved. */
    suspend fun release(
        target: Target,
        id: String,
    ): Boolean

    /** Returns whether a request uses the memory reserved at [target] under [id]; the engine's answer may be some 100 ms old. */
    suspend fun useOf(
        target: Target,
        id: String,
    ): MemoryUse

    /** Returns whether [target] answers now, in the run that the platform lists. */
    suspend fun isRunning(target: Target): Boolean
}
