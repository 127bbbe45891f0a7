// What happens in one soak run and when, drawn from a seed.
package yuccaferry.integration.soak

import kotlin.random.Random

/** One disturbance from outside the daemons; numbers name daemons and targets by their position. */
internal sealed class Fault {
    /** The daemon that it touches, or null when it touches all or none. */
    open val daemon: Int? get() = null

    /** Whether it is planned work, which must cut no request. */
    open val isPlanned: Boolean get() = false

    data class KillDaemon(
        override val daemon: Int,
    ) : Fault()

    data class PauseDaemon(
        override val daemon: Int,
    ) : Fault()

    data class StopDaemon(
        override val daemon: Int,
    ) : Fault() {
        override val isPlanned = true
    }

    data class ReloadSettings(
        override val daemon: Int,
    ) : Fault() {
        override val isPlanned = true
    }

    data class CutStoreLink(
        override val daemon: Int,
    ) : Fault()

    data class SilenceStoreLink(
        override val daemon: Int,
        val isUpward: Boolean,
    ) : Fault()

    data class DelayStoreLink(
        override val daemon: Int,
        val delayMillis: Long,
    ) : Fault()

    data object RefuseAtStore : Fault()

    data object SilenceStore : Fault()

    data object ForgetHistory : Fault()

    data class CutTarget(
        val target: Int,
    ) : Fault()

    data class SilenceTarget(
        val target: Int,
    ) : Fault()

    data class LoseAnswers(
        val target: Int,
    ) : Fault()

    data class CutAnswers(
        val target: Int,
    ) : Fault()

    data class DrainTarget(
        val target: Int,
    ) : Fault() {
        override val isPlanned = true
    }

    data object Configure : Fault() {
        override val isPlanned = true
    }

    data object TakeZoneOut : Fault() {
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
): Fault {
    val daemon = random.nextInt(daemons)
    val target = random.nextInt(targets)
    return when (random.nextInt(KINDS)) {
        0 -> Fault.KillDaemon(daemon)
        1 -> Fault.PauseDaemon(daemon)
        2, 3 -> Fault.StopDaemon(daemon)
        4 -> Fault.ReloadSettings(daemon)
        5 -> Fault.CutStoreLink(daemon)
        6 -> Fault.SilenceStoreLink(daemon, isUpward = random.nextBoolean())
        7 -> Fault.DelayStoreLink(daemon, delayMillis = random.nextLong(MOST_DELAY_MILLIS))
        8 -> Fault.RefuseAtStore
        9 -> Fault.SilenceStore
        10 -> Fault.ForgetHistory
        11 -> Fault.CutTarget(target)
        12 -> Fault.SilenceTarget(target)
        13 -> Fault.LoseAnswers(target)
        14 -> Fault.CutAnswers(target)
        15 -> Fault.DrainTarget(target)
        16 -> Fault.TakeZoneOut
        else -> Fault.Configure
    }
}

/** Cases of [draw]; configurations are drawn twice as often as others. */
private const val KINDS = 19

/** Milliseconds of a run for each fault, so that they overlap. */
private const val MILLIS_PER_FAULT = 700L

/** Milliseconds of the shortest and the longest fault. */
private const val SHORTEST_MILLIS = 300L
private const val LONGEST_MILLIS = 4_000L

/** Milliseconds of the longest delay of each piece of a store's answer. */
private const val MOST_DELAY_MILLIS = 300L
