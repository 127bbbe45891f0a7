// What daemons tell each other about their work at targets.
package yuccaferry.gateway.peers

import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/**
 * All work of one daemon, complete in itself, so that a lost message is repaired by the next.
 *
 * @property daemon name of the sender.
 * @property start time of day in ms at which the sender started; tells its runs apart.
 * @property sequence grows with each message of a run.
 */
@Serializable
class WorkMessage(
    @ProtoNumber(1) val daemon: String,
    @ProtoNumber(2) val start: Long,
    @ProtoNumber(3) val sequence: Long,
    @ProtoNumber(4) val targets: List<TargetWork>,
)

/**
 * The sender's work at one target.
 *
 * @property readingMillis predicted time until the prompts being read there are done.
 * @property heldTokens tokens of the prompts and answers there.
 * @property longRequests requests there whose prompt is long.
 */
@Serializable
class TargetWork(
    @ProtoNumber(1) val target: String,
    @ProtoNumber(2) val active: Int,
    @ProtoNumber(3) val readingMillis: Int,
    @ProtoNumber(4) val heldTokens: Long,
    @ProtoNumber(5) val longRequests: Int,
)
