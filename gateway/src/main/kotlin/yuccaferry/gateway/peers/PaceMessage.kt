// The part of messages between daemons that tells about targets that have just started or recovered.
package yuccaferry.gateway.peers

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import yuccaferry.decisions.limits.PaceReport
import yuccaferry.model.Incarnation
import yuccaferry.model.TargetId

/** A [PaceReport]; see there for its fields. */
@Serializable
internal class PaceMessage(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val run: String,
    @ProtoNumber(3) val step: Int,
    @ProtoNumber(4) val allowed: Int,
    @ProtoNumber(5) val slots: Int,
    @ProtoNumber(6) val confirmed: Int,
    @ProtoNumber(7) val ageMillis: Long,
    @ProtoNumber(8) val leftMillis: Long,
) {
    val isPlausible: Boolean
        get() = step in 0..MAX_COUNT && slots in 1..MAX_COUNT && allowed in 1..slots && confirmed in 0..MAX_COUNT && hasPlausibleTimes

    private val hasPlausibleTimes get() = ageMillis in 0..MAX_MILLIS && leftMillis in -MAX_MILLIS..MAX_MILLIS

    fun toReport() = PaceReport(TargetId(target), Incarnation(run), step, allowed, slots, confirmed, ageMillis, leftMillis)

    companion object {
        /** Most steps, slots and answers of one target, far beyond what one run has while it is limited. */
        private const val MAX_COUNT = 100_000

        /** Longest time in a report, in ms: far longer than limits last. */
        private const val MAX_MILLIS = 1_000_000L

        fun of(report: PaceReport) =
            PaceMessage(
                report.target.value,
                report.run.value,
                report.step,
                report.allowed,
                report.slots,
                report.confirmed,
                report.ageMillis,
                report.leftMillis,
            )
    }
}
