// What happens in one soak run and when, drawn from a seed.
package yuccaferry.integration.soak

import kotlin.random.Random

/** One disturbance from outside the daemons; numbers name daemons and targets by their position. */
internal sealed class Fault {
    /** Whether it is planned work, which must cut no request. */
    open val isPlanned: Boolean get() = false

    /** Touches one daemon. */
    sealed class AtDaemon : Fault() {
        abstract val daemon: Int
    }

    data class KillDaemon(
        override val daemon: Int,
    ) : AtDaemon()

    data class PauseDaemon(
        override val daemon: Int,
    ) : AtDaemon()

    data class StopDaemon(
        override val daemon: Int,
    ) : AtDaemon() {
        override val isPlanned = true
    }

    data class ReloadSettings(
        override val daemon: Int,
    ) : AtDaemon() {
        override val isPlanned = true
    }

    data class CutStoreLink(
        override val daemon: Int,
    ) : AtDaemon()

    data class SilenceStoreLink(
        override val daemon: Int,
        val isUpward: Boolean,
    ) : AtDaemon()

    data class DelayStoreLink(
        override val daemon: Int,
        val delayMillis: Long,
    ) : AtDaemon()

    /** Touches the store for all. */
    sealed class AtStore : Fault()

    data object RefuseAtStore : AtStore()

    data object SilenceStore : AtStore()

    data object ForgetHistory : AtStore()

    /** What operators do. */
    sealed class ByOperators : AtStore() {
        override val isPlanned = true
    }

    data object Configure : ByOperators()

    data object TakeZoneOut : ByOperators()

    /** Touches one target. */
    sealed class AtTarget : Fault() {
        abstract val target: Int
    }

    data class CutTarget(
        override val target: Int,
    ) : AtTarget()

    data class SilenceTarget(
        override val target: Int,
    ) : AtTarget()

    data class LoseAnswers(
        override val target: Int,
    ) : AtTarget()

    data class CutAnswers(
        override val target: Int,
    ) : AtTarget()

    data class DrainTarget(
        override val target: Int,
    ) : AtTarget() {
        override val isPlanned = true
    }
}

/** [fault] from [atMillis] after the start of traffic for [forMillis]. */
internal data class TimedFault(
    val fault: Fault,
    val atMillis: Long,
    val forMillis: Long,
) {
    /** Whether it may still show between two times after the start of traffic, in ms. */
    fun touches(
        from: Long,
        to: Long,
    ): Boolean = atMillis <= to && from <= atMillis + forMillis + AFTERMATH_MILLIS

    private companion object {
        /** Milliseconds after its end for which a fault may show: the platform's own span for being in touch again. */
        const val AFTERMATH_MILLIS = 3_000L
    }
}

/** The faults of the run [seed] of [lengthMillis], in order of time. */
internal fun planOf(
    seed: Long,
    lengthMillis: Long,
    daemons: Int,
    targets: Int,
): List<TimedFault> {
    val random = Random(seed)
    val count = (lengthMillis / MILLIS_PER_FAULT).toInt()
    return List(count) {
        val at = random.nextLong(lengthMillis * 4 / 5)
        TimedFault(draw(random, daemons, targets), at, random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS))
    }.sortedBy { it.atMillis }
}

private fun draw(
    random: Random,
    daemons: Int,
    targets: Int,
): Fault = KINDS[random.nextInt(KINDS.size)](random, random.nextInt(daemons), random.nextInt(targets))

/** Makes each kind of fault for a daemon and a target; stops and configurations come twice as often as others. */
private val KINDS: List<(Random, daemon: Int, target: Int) -> Fault> =
    listOf(
        { _, daemon, _ -> Fault.KillDaemon(daemon) },
        { _, daemon, _ -> Fault.PauseDaemon(daemon) },
        { _, daemon, _ -> Fault.StopDaemon(daemon) },
        { _, daemon, _ -> Fault.StopDaemon(daemon) },
        { _, daemon, _ -> Fault.ReloadSettings(daemon) },
        { _, daemon, _ -> Fault.CutStoreLink(daemon) },
        { random, daemon, _ -> Fault.SilenceStoreLink(daemon, isUpward = random.nextBoolean()) },
        { random, daemon, _ -> Fault.DelayStoreLink(daemon, delayMillis = random.nextLong(MOST_DELAY_MILLIS)) },
        { _, _, _ -> Fault.RefuseAtStore },
        { _, _, _ -> Fault.SilenceStore },
        { _, _, _ -> Fault.ForgetHistory },
        { _, _, target -> Fault.CutTarget(target) },
        { _, _, target -> Fault.SilenceTarget(target) },
        { _, _, target -> Fault.LoseAnswers(target) },
        { _, _, target -> Fault.CutAnswers(target) },
        { _, _, target -> Fault.DrainTarget(target) },
        { _, _, _ -> Fault.TakeZoneOut },
        { _, _, _ -> Fault.Configure },
        { _, _, _ -> Fault.Configure },
    )

/** Milliseconds of a run for each fault, so that they overlap. */
private const val MILLIS_PER_FAULT = 700L

/** Milliseconds of the shortest and the longest fault. */
private const val SHORTEST_MILLIS = 300L
private const val LONGEST_MILLIS = 4_000L

/** Milliseconds of the longest delay of each piece of a store's answer. */
private const val MOST_DELAY_MILLIS = 300L
