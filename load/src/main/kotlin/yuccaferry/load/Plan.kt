// Turns an experiment and a seed into requests with intended start times.
package yuccaferry.load

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

private const val NANOS_PER_SECOND = 1e9

/** One request to send. */
internal sealed interface PlannedRequest {
    /** Position in the plan, from zero. */
    val number: Int

    /** Intended start, in nanoseconds from the start of the run. */
    val startNanos: Long
    val account: LoadAccount
}

/** A prompt of [tokens] tokens; [thread] is the thread that it continues, null for none. */
internal data class PlannedPrompt(
    override val number: Int,
    override val startNanos: Long,
    override val account: LoadAccount,
    val tokens: Int,
    val answerTokens: Int,
    val thread: String?,
) : PlannedRequest {
    val lengthClass: LengthClass
        get() = LengthClass.of(tokens.toLong())
}

/** A call that must not be repeated. */
internal data class PlannedBooking(
    override val number: Int,
    override val startNanos: Long,
    override val account: LoadAccount,
    val key: String,
) : PlannedRequest

/** An idempotent status lookup. */
internal data class PlannedLookup(
    override val number: Int,
    override val startNanos: Long,
    override val account: LoadAccount,
) : PlannedRequest

/** All requests of [experiment] in order of their start, drawn from [seed]. */
internal fun plan(
    experiment: Experiment,
    seed: Long,
): List<PlannedRequest> {
    val random = Random(seed)
    val accounts = WeightedChoice(List(experiment.accounts.size) { (it + 1.0).pow(-experiment.zipfExponent) })
    val bands = WeightedChoice(experiment.lengths.map { it.share })
    val requests = ArrayList<PlannedRequest>()
    var seconds = nextInterval(random, experiment.requestsPerSecond)
    while (seconds < experiment.durationSeconds) {
        val start = (seconds * NANOS_PER_SECOND).toLong()
        val account = experiment.accounts[accounts.draw(random)]
        val band = experiment.lengths[bands.draw(random)]
        requests += request(experiment, requests.size, start, account, band, random, seed)
        seconds += nextInterval(random, experiment.requestsPerSecond)
    }
    return requests
}

private fun request(
    experiment: Experiment,
    number: Int,
    start: Long,
    account: LoadAccount,
    band: LengthBand,
    random: Random,
    seed: Long,
): PlannedRequest {
    val kind = random.nextDouble()
    val tokens = logUniform(random, band.minTokens, band.maxTokens)
    val answer = random.nextInt(experiment.answerTokens.min, experiment.answerTokens.max + 1)
    val thread = random.nextInt(experiment.threads.perAccount).takeIf { random.nextDouble() < experiment.threads.share }
    return when {
        kind < experiment.bookingShare -> PlannedBooking(number, start, account, "booking-$seed-$number")
        kind < experiment.bookingShare + experiment.lookupShare -> PlannedLookup(number, start, account)
        else -> PlannedPrompt(number, start, account, tokens, answer, thread?.let { "${account.name}/${band.minTokens}/$it" })
    }
}

private fun nextInterval(
    random: Random,
    rate: Double,
) = -ln(1 - random.nextDouble()) / rate

private fun logUniform(
    random: Random,
    min: Int,
    max: Int,
): Int = exp(ln(min.toDouble()) + random.nextDouble() * (ln(max.toDouble()) - ln(min.toDouble()))).toInt().coerceIn(min, max)

/** Draws indexes in proportion to weights. */
private class WeightedChoice(
    weights: List<Double>,
) {
    private val sums = weights.runningFold(0.0, Double::plus).drop(1)

    fun draw(random: Random): Int {
        val point = random.nextDouble() * sums.last()
        return sums.indexOfFirst { point < it }.coerceAtLeast(0)
    }
}
