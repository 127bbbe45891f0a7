/*
 * Lists the work of each engine for which this daemon decides, so that the engine's allocator matches what the engine
 * actually holds, and cancels work whose owner is gone.
 */
package yuccaferry.daemon.grants

import com.github.michaelbull.result.get
import kotlinx.coroutines.Job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.EngineClient
import yuccaferry.daemon.port.HeldKind
import yuccaferry.daemon.port.HeldWork
import yuccaferry.daemon.tasks.PeriodicTasks
import yuccaferry.decisions.grants.Observation
import yuccaferry.decisions.grants.ObservedWork
import yuccaferry.model.RequestId
import yuccaferry.model.Target
import yuccaferry.model.TargetKind

/** Observes the engines of [decider] every [intervalMillis]. */
class TargetObserver(
    private val decider: GrantDecider,
    private val engines: EngineClient,
    private val orphans: OrphanCollector,
    private val clock: Clock,
    private val intervalMillis: Long = 500,
) {
    /** Observes as one of [tasks] until the job is cancelled. */
    fun start(tasks: PeriodicTasks): Job =
        tasks.start("observation", isRequired = false) {
            orphans.recordMembers()
            val engines = decider.decidedTargets().filter { it.kind == TargetKind.ENGINE }
            engines.map { launch { observe(it) } }.joinAll()
            intervalMillis
        }

    /** Observes [target] once. */
    suspend fun observe(target: Target) {
        val requestedAt = clock.now()
        val held = engines.held(target).get()
        decider.recordObservation(target, held?.let { observationOf(it) }, requestedAt)
        if (held != null) orphans.collect(target, held)
    }
}

private fun observationOf(held: HeldWork) =
    Observation(
        incarnation = held.incarnation,
        warm = held.warm,
        work =
            held.items.map {
                ObservedWork(
                    request = if (it.kind == HeldKind.REQUEST) RequestId(it.id) else RequestId("${it.kind}:${it.id}"),
                    owner = it.owner,
                    holdTokens = it.tokens,
                    prefillTokensLeft = it.prefillTokensLeft,
                    timeLeftMillis = it.timeLeftMillis,
                )
            },
    )
