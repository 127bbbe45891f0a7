/*
 * An experiment file: the load, its duration, the accounts that send it, and the events during the run.
 * The same file and seed always give the same requests at the same intended times.
 */
package yuccaferry.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** The only supported format of experiment files. */
const val EXPERIMENT_FORMAT = 1

/**
 * One experiment.
 *
 * @property durationSeconds time in which requests start.
 * @property warmUpSeconds time from the start; requests that start in it are checked but not measured.
 * @property drainSeconds time after the last start in which requests may end.
 * @property requestsPerSecond mean rate of a Poisson process, prompts, bookings and lookups together.
 * @property model name of the model that all prompts request.
 * @property service name of the plain service for bookings and lookups; null only if there are none.
 * @property zipfExponent how unequal the accounts' shares are; zero makes them equal.
 */
@Serializable
data class Experiment(
    val format: Int,
    val name: String,
    val seed: Long,
    val durationSeconds: Int,
    val warmUpSeconds: Int = 0,
    val drainSeconds: Int = 30,
    val requestsPerSecond: Double,
    val model: String,
    val service: String? = null,
    val lengths: List<LengthBand>,
    val answerTokens: TokenRange = TokenRange(16, 64),
    val accounts: List<LoadAccount>,
    val zipfExponent: Double = 1.0,
    val threads: ThreadMix = ThreadMix(),
    val bookingShare: Double = 0.0,
    val lookupShare: Double = 0.0,
    val events: List<TimedEvent> = emptyList(),
)

/**
 * Prompts between two lengths, log-uniform.
 *
 * @property share part of all prompts, relative to the other bands.
 */
@Serializable
data class LengthBand(
    val share: Double,
    val minTokens: Int,
    val maxTokens: Int,
)

/** Numbers of tokens, both ends included. */
@Serializable
data class TokenRange(
    val min: Int,
    val max: Int,
)

/** One client account and its key; the first of the list is the largest. */
@Serializable
data class LoadAccount(
    val name: String,
    val key: String,
)

/**
 * Prompts that continue threads and share their start.
 *
 * @property share part of the prompts that continue a thread.
 * @property perAccount threads of each account.
 * @property sharedPart part of such a prompt that is the thread's text so far.
 */
@Serializable
data class ThreadMix(
    val share: Double = 0.0,
    val perAccount: Int = 1,
    val sharedPart: Double = 0.9,
)

/** An event during the run, [atSeconds] after its start. */
@Serializable
sealed interface TimedEvent {
    val atSeconds: Double

    /** Takes a zone out of service. */
    @Serializable
    @SerialName("zone-out")
    data class ZoneOut(
        override val atSeconds: Double,
        val zone: String,
    ) : TimedEvent

    /** Brings a zone back into service. */
    @Serializable
    @SerialName("zone-in")
    data class ZoneIn(
        override val atSeconds: Double,
        val zone: String,
    ) : TimedEvent

    /** Sets the faults of a stand-in; an empty object clears them. */
    @Serializable
    @SerialName("fault")
    data class Fault(
        override val atSeconds: Double,
        val standIn: String,
        val faults: JsonObject,
    ) : TimedEvent
}
