// Messages in which daemons report their work at targets to each other.
package yuccaferry.gateway.peers

import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import yuccaferry.decisions.dispatch.LoadReports
import yuccaferry.decisions.dispatch.ReportedLoad
import yuccaferry.decisions.dispatch.TargetReport

/**
 * The complete work of one daemon, as far as the receiver is told about it, so that the next message makes up for a lost one.
 *
 * @property daemon name of the sender.
 * @property start Unix time in ms at which the sender started; distinguishes its runs.
 * @property sequence number that increases with each message of a run.
 * @property penalties penalties of targets that failed or were late.
 * @property quarantine what the sender knows of prompts that crash targets; null if it knows of none.
 * @property isAddition whether the message only adds to what the sender reports of prompts, and leaves its work as it was.
 * @property paces limits of targets that have just started or recovered.
 * @property loads load that targets stated to the sender and its peers may not know.
 * @property validMillis time after which the work is no longer counted unless another message arrives.
 */
@Serializable
internal class WorkMessage(
    @ProtoNumber(1) val daemon: String,
    @ProtoNumber(2) val start: Long,
    @ProtoNumber(3) val sequence: Long,
    @ProtoNumber(4) val targets: List<TargetWork> = emptyList(),
    @ProtoNumber(5) val validMillis: Long = 0,
    @ProtoNumber(6) val penalties: List<ReportedPenalty> = emptyList(),
    @ProtoNumber(7) val quarantine: QuarantineMessage? = null,
    @ProtoNumber(8) val isAddition: Boolean = false,
    @ProtoNumber(9) val paces: List<PaceMessage> = emptyList(),
    @ProtoNumber(10) val loads: List<LoadMessage> = emptyList(),
) {
    companion object {
        /** Most targets in a message, those with the most requests, so that it fits into a datagram. */
        const val MAX_TARGETS = 200
    }
}

/** Penalty in milliseconds of the run [run] of a target, as the sender sees it. */
@Serializable
internal class ReportedPenalty(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val run: String,
    @ProtoNumber(3) val millis: Int,
)

/**
 * The sender's work at one target.
 *
 * @property active number of requests, or parts of prompts, in progress there.
 * @property readingMillis predicted time until the prefills in progress there are complete.
 * @property heldTokens tokens of the prompts and answers there.
 * @property longRequests number of requests there with a long prompt.
 */
@Serializable
internal class TargetWork(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val active: Int,
    @ProtoNumber(3) val readingMillis: Int,
    @ProtoNumber(4) val heldTokens: Long,
    @ProtoNumber(5) val longRequests: Int,
)

/** Load that the run [run] of a target stated [ageMillis] before the message was sent: its [running] and [waiting] requests and [slots]. */
@Serializable
internal class LoadMessage(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val run: String,
    @ProtoNumber(3) val running: Int,
    @ProtoNumber(4) val waiting: Int,
    @ProtoNumber(5) val slots: Int,
    @ProtoNumber(6) val ageMillis: Int,
) {
    val isPlausible: Boolean
        get() = running in 0..MAX_REQUESTS && waiting in 0..MAX_REQUESTS && slots in 1..MAX_REQUESTS && ageMillis >= 0

    val load get() = ReportedLoad(running, waiting, slots)

    companion object {
        fun of(report: TargetReport) =
            with(report) { LoadMessage(target.value, run.value, load.running, load.waiting, load.slots, ageMillis.toInt()) }
    }
}

/** Decodes a datagram; returns null if it isn't a message with plausible values. */
internal fun decodeMessage(bytes: ByteArray): WorkMessage? {
    val message =
        try {
            ProtoBuf.decodeFromByteArray<WorkMessage>(bytes)
        } catch (invalid: RuntimeException) {
            // The decoder throws SerializationException, but also IndexOutOfBoundsException where a length is wrong.
            return null
        }
    return message.takeIf { it.isPlausible }
}

private val WorkMessage.isPlausible: Boolean
    get() =
        targets.all { it.isPlausible } && penalties.all { it.millis >= 0 } && quarantine?.isPlausible != false &&
            paces.all { it.isPlausible } && loads.size <= LoadReports.MAX_REPORTED && loads.all { it.isPlausible }

private val TargetWork.isPlausible: Boolean
    get() = active in 0..MAX_REQUESTS && longRequests in 0..active && readingMillis >= 0 && heldTokens in 0..MAX_TOKENS

/** Most requests of one daemon at one target. */
private const val MAX_REQUESTS = 100_000

/** Most tokens of one daemon's requests at one target; sums over daemons don't overflow. */
private const val MAX_TOKENS = 1_000_000_000_000L
