// The faults of a soak run and their times, drawn from a seed.
package yuccaferry.integration.soak

import kotlin.random.Random

/** A fault or planned work from outside the daemons; daemons and targets are given by index. */
internal sealed class Fault {
    /** Whether this is planned work, which must not cut any request. */
    open val isPlanned: Boolean get() = false

    /** Affects one daemon. */
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

    /** The open connections to the store fall silent for good, while new ones work. */
    data class SilenceOpenStoreConnections(
        override val daemon: Int,
    ) : AtDaemon()

    /** Affects the store of all daemons. */
    sealed class AtStore : Fault()

    data object RefuseAtStore : AtStore()

    data object SilenceStore : AtStore()

    data object ForgetHistory : AtStore()

    /** The store is restored from a copy that is as old as the fault is long. Requests must not be cut by it, as by planned work. */
    data object RestoreStore : AtStore() {
        override val isPlanned = true
    }

    /** Operators' changes. */
    sealed class ByOperators : AtStore() {
        override val isPlanned = true
    }

    data object Configure : ByOperators()

    data object TakeZoneOut : ByOperators()

    /** Affects one target. */
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

    /** The open connections to the target fall silent for good, while new ones work. */
    data class SilenceOpenConnections(
        override val target: Int,
    ) : AtTarget()

    /** Answers go on without end until the daemon closes the connection. */
    data class AnswerWithoutEnd(
        override val target: Int,
    ) : AtTarget()

    /** The target says in its answers that it leaves, while the store lists it as before; then it runs anew. */
    data class AnnounceLeaving(
        override val target: Int,
    ) : AtTarget() {
        override val isPlanned = true
    }

    /** The target asks for a pause of the fault's length instead of running requests. */
    data class AskForPause(
        override val target: Int,
    ) : AtTarget() {
        override val isPlanned = true
    }

    data class DrainTarget(
        override val target: Int,
    ) : AtTarget() {
        override val isPlanned = true
    }

    /** Some callers send prompts with a part that crashes each target that begins to answer them. */
    data object SendCrashingPart : Fault()
}

/** A fault that starts [atMillis] after the start of traffic and lasts for [forMillis]. */
internal data class TimedFault(
    val fault: Fault,
    val atMillis: Long,
    val forMillis: Long,
) {
    /** Returns whether the fault may have an effect between [from] and [to], in ms after the start of traffic. */
    fun mayAffect(
        from: Long,
        to: Long,
    ): Boolean = atMillis <= to && from <= atMillis + forMillis + RECOVERY_MILLIS

    private companion object {
        /** Milliseconds after its end during which a fault may still have an effect: the platform's time limit for reconnecting. */
        const val RECOVERY_MILLIS = 3_000L
    }
}

/** Returns the faults of the run with [seed] and [lengthMillis], ordered by time. */
internal fun planOf(
    seed: Long,
    lengthMillis: Long,
    daemons: Int,
    targets: Int,
): List<TimedFault> {
    val random = Random(seed)
    val count = (lengthMillis / MILLIS_PER_FAULT).toInt()
    val faults =
        List(count) {
            val at = random.nextLong(lengthMillis * 4 / 5)
            TimedFault(randomFault(random, daemons, targets), at, random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS))
        }
    val others = noticesOf(seed, lengthMillis, targets) + troublesOf(seed, lengthMillis, daemons, targets) + restoresOf(seed, lengthMillis)
    return (faults + others).sortedBy { it.atMillis }
}

/**
 * Returns endless answers, silenced connections and, for some seeds, prompts that crash targets; drawn apart from the other faults, as
 * notices are.
 */
private fun troublesOf(
    seed: Long,
    lengthMillis: Long,
    daemons: Int,
    targets: Int,
): List<TimedFault> {
    val random = Random(-seed)
    val troubles =
        List((lengthMillis / MILLIS_PER_TROUBLE).toInt()) {
            val at = random.nextLong(lengthMillis * 4 / 5)
            val target = random.nextInt(targets)
            val millis = random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS)
            when (random.nextInt(4)) {
                0 -> TimedFault(Fault.SilenceOpenStoreConnections(random.nextInt(daemons)), at, forMillis = 0)
                1 -> TimedFault(Fault.SilenceOpenConnections(target), at, forMillis = 0)
                else -> TimedFault(Fault.AnswerWithoutEnd(target), at, millis)
            }
        }
    if (seed % SEEDS_PER_CRASHING_PART != 0L) return troubles
    // Long enough for requests to arrive after the time in which daemons find the part.
    val at = random.nextLong(lengthMillis / 10)
    return troubles + TimedFault(Fault.SendCrashingPart, at, lengthMillis * 4 / 5)
}

/** Returns what targets say about new work; drawn apart from the other faults, so that known seeds keep those. */
private fun noticesOf(
    seed: Long,
    lengthMillis: Long,
    targets: Int,
): List<TimedFault> {
    val random = Random(seed.inv())
    return List((lengthMillis / MILLIS_PER_NOTICE).toInt()) {
        val target = random.nextInt(targets)
        val fault = if (random.nextBoolean()) Fault.AnnounceLeaving(target) else Fault.AskForPause(target)
        TimedFault(fault, random.nextLong(lengthMillis * 4 / 5), random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS))
    }
}

/** Returns the restores of the store; drawn apart from the other faults, as notices are. */
private fun restoresOf(
    seed: Long,
    lengthMillis: Long,
): List<TimedFault> {
    val random = Random(-seed.inv() * RESTORE_SALT)
    return List((lengthMillis / MILLIS_PER_RESTORE).toInt()) {
        TimedFault(Fault.RestoreStore, random.nextLong(lengthMillis * 4 / 5), random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS))
    }
}

private fun randomFault(
    random: Random,
    daemons: Int,
    targets: Int,
): Fault = FAULT_FACTORIES[random.nextInt(FAULT_FACTORIES.size)](random, random.nextInt(daemons), random.nextInt(targets))

/** Creates each kind of fault for a daemon and a target; stops and configurations are listed twice and so drawn twice as often. */
private val FAULT_FACTORIES: List<(Random, daemon: Int, target: Int) -> Fault> =
    listOf(
        { _, daemon, _ -> Fault.KillDaemon(daemon) },
        { _, daemon, _ -> Fault.PauseDaemon(daemon) },
        { _, daemon, _ -> Fault.StopDaemon(daemon) },
        { _, daemon, _ -> Fault.StopDaemon(daemon) },
        { _, daemon, _ -> Fault.ReloadSettings(daemon) },
        { _, daemon, _ -> Fault.CutStoreLink(daemon) },
        { random, daemon, _ -> Fault.SilenceStoreLink(daemon, isUpward = random.nextBoolean()) },
        { random, daemon, _ -> Fault.DelayStoreLink(daemon, delayMillis = random.nextLong(MAX_DELAY_MILLIS)) },
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

/** Milliseconds of a run per fault; short enough that faults overlap. */
private const val MILLIS_PER_FAULT = 700L

/** Milliseconds of a run per notice of a target. */
private const val MILLIS_PER_NOTICE = 2_000L

/** Milliseconds of a run per endless answers or silenced connections. */
private const val MILLIS_PER_TROUBLE = 2_000L

/** Milliseconds of a run per restore of the store. */
private const val MILLIS_PER_RESTORE = 6_000L

/** Factor that makes the restores of a seed differ from its other draws. */
private const val RESTORE_SALT = 31L

/** Every so many seeds have prompts that crash targets; those runs show less of everything else. */
private const val SEEDS_PER_CRASHING_PART = 3L

/** Milliseconds of the shortest and the longest fault. */
private const val MIN_FAULT_MILLIS = 300L
private const val MAX_FAULT_MILLIS = 4_000L

/** Upper limit in milliseconds of the delay of each piece of a store's answer. */
private const val MAX_DELAY_MILLIS = 300L
