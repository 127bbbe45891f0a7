// Keeps prompts that crash targets from further targets, and reports what this daemon sees of them.
package yuccaferry.gateway.request

import kotlinx.coroutines.launch
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.quarantine.CrashedRun
import yuccaferry.decisions.quarantine.PromptCrash
import yuccaferry.decisions.quarantine.PromptQuarantine
import yuccaferry.decisions.quarantine.QuarantineChange
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.view.Target
import yuccaferry.model.PromptPart

/** Applies [quarantine] to requests; [onNews] is called when peers are to be told about it at once. */
internal class PromptGuard(
    private val loop: EventLoop,
    private val quarantine: PromptQuarantine,
    private val crashes: CrashDetector,
    private val telemetry: Telemetry,
    private val onNews: () -> Unit,
) {
    /** Returns the part because of which [request] must not be sent; null if there is none. */
    fun quarantinedPart(request: AdmittedRequest): PromptPart? {
        update()
        return quarantine.find(request.head.sharedParts, loop.now())
    }

    /** Records that a target answers [request]. */
    fun recordAnswer(request: AdmittedRequest) {
        if (quarantine.recordAnswer(request.head.sharedParts, loop.now())) onNews()
    }

    /** Records the [end] of an attempt of [request] at [target] that was not answered; finds out in the background whether it crashed. */
    fun recordUnanswered(
        request: AdmittedRequest,
        target: Target,
        end: AttemptEnd,
    ) {
        val parts = request.head.sharedParts
        if (parts.isEmpty()) return
        loop.scope.launch {
            if (!crashes.hasCrashed(request, target, end)) return@launch
            quarantine.recordCrash(PromptCrash(CrashedRun(target.id, target.incarnation), parts), loop.now())
            onNews()
        }
    }

    private fun update() {
        for (change in quarantine.update(loop.now())) {
            when (change) {
                is QuarantineChange.Began -> {
                    val fields = arrayOf(Field("part", change.part), Field("crashes", change.crashes))
                    telemetry.event("prompt_part_quarantined", *fields, severity = Severity.WARN)
                }

                is QuarantineChange.Adopted -> {
                    telemetry.event("prompt_part_quarantined", Field("part", change.part), Field("by", "peer"))
                }

                is QuarantineChange.Ended -> {
                    telemetry.event("prompt_part_released", Field("part", change.part), Field("answered", change.isSound))
                }
            }
        }
    }
}
