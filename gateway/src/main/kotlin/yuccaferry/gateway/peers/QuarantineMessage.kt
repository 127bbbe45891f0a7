// The part of messages between daemons that tells about prompts that crash targets.
package yuccaferry.gateway.peers

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import kotlinx.serialization.protobuf.ProtoPacked
import yuccaferry.decisions.quarantine.CrashedRun
import yuccaferry.decisions.quarantine.PartAge
import yuccaferry.decisions.quarantine.PromptCrash
import yuccaferry.decisions.quarantine.QuarantineReport
import yuccaferry.model.Incarnation
import yuccaferry.model.PromptPart
import yuccaferry.model.TargetId

/** A [QuarantineReport]; see there for its lists. */
@Serializable
internal class QuarantineMessage(
    @ProtoNumber(1) val crashes: List<CrashMessage> = emptyList(),
    @ProtoNumber(2) val answered: List<PartMessage> = emptyList(),
    @ProtoNumber(3) val quarantined: List<PartMessage> = emptyList(),
) {
    val isPlausible: Boolean
        get() = (answered + quarantined).all { it.millis >= 0 && it.part.length <= MAX_CHARS } && crashes.all { it.isPlausible }

    fun toReport() =
        QuarantineReport(
            crashes = crashes.map { it.toCrash() },
            answered = answered.map { PartAge(PromptPart(it.part), it.millis) },
            quarantined = quarantined.map { PartAge(PromptPart(it.part), it.millis) },
        )

    companion object {
        /** Most parts that a message names, so that it fits into a datagram, and longest id of a part. */
        const val MAX_PARTS = 64
        const val MAX_CHARS = 64

        fun of(report: QuarantineReport) =
            QuarantineMessage(
                crashes = report.crashes.map { CrashMessage.of(it) },
                answered = report.answered.map { PartMessage(it.part.value, it.millis) },
                quarantined = report.quarantined.map { PartMessage(it.part.value, it.millis) },
            )
    }
}

/** A crash of the run [run] of a target under prompts with [parts], which had the positions [depths] in them. */
@Serializable
internal class CrashMessage(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val run: String,
    @ProtoNumber(3) val parts: List<String> = emptyList(),
    @ProtoNumber(4) @ProtoPacked val depths: List<Int> = emptyList(),
) {
    val isPlausible: Boolean
        get() = parts.size == depths.size && parts.all { it.length <= QuarantineMessage.MAX_CHARS } && depths.all { it >= 0 }

    fun toCrash() = PromptCrash(CrashedRun(TargetId(target), Incarnation(run)), parts.map(::PromptPart), depths)

    companion object {
        fun of(crash: PromptCrash) = CrashMessage(crash.run.target.value, crash.run.run.value, crash.parts.map { it.value }, crash.depths)
    }
}

/** A part and the milliseconds since what is reported of it. */
@Serializable
internal class PartMessage(
    @ProtoNumber(1) val part: String,
    @ProtoNumber(2) val millis: Long,
)
