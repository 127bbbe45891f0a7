/*
 * Identifiers shared by all modules. Each wraps one string or number, so that passing an account where
 * a zone is expected doesn't compile.
 */
package yuccaferry.model

import kotlinx.serialization.Serializable

/** Name of an availability zone, unique across regions. */
@Serializable
@JvmInline
value class ZoneName(
    val value: String,
) {
    override fun toString() = value
}

/** Name of a region, a group of zones with low latency between them. */
@Serializable
@JvmInline
value class RegionName(
    val value: String,
) {
    override fun toString() = value
}

/** Name of a client account. */
@Serializable
@JvmInline
value class AccountName(
    val value: String,
) {
    override fun toString() = value
}

/** Name of a model or of a plain service, which a group of targets serves. */
@Serializable
@JvmInline
value class ServiceName(
    val value: String,
) {
    override fun toString() = value
}

/** Version label of a model, as the operators' file states it. */
@Serializable
@JvmInline
value class ModelVersion(
    val value: String,
) {
    override fun toString() = value
}

/** Stable name of one target in the platform's instance list. */
@Serializable
@JvmInline
value class TargetId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies one run of a target; changes at each restart. */
@Serializable
@JvmInline
value class Incarnation(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies one run of one daemon; a restarted daemon has a new id. */
@Serializable
@JvmInline
value class DaemonId(
    val value: String,
) {
    override fun toString() = value
}

/** Name of one daemon, which it keeps when it restarts. */
@Serializable
@JvmInline
value class DaemonName(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies one caller's request on every hop. */
@Serializable
@JvmInline
value class RequestId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies one attempt to write a record, so that a writer recognises its own write. */
@Serializable
@JvmInline
value class AttemptId(
    val value: String,
) {
    override fun toString() = value
}

/** Position in the single total order of accepted configurations. The first is 1; 0 means that there is none. */
@Serializable
@JvmInline
value class ConfigurationVersion(
    val value: Long,
) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion) = value.compareTo(other.value)

    override fun toString() = value.toString()

    companion object {
        /** The version of a fleet to which no file has been applied yet. */
        val NONE = ConfigurationVersion(0)
    }
}

/** Fencing token of a shard. It increases by one each time a daemon acquires the shard, even from itself, and never decreases. */
@Serializable
@JvmInline
value class Epoch(
    val value: Long,
) : Comparable<Epoch> {
    override fun compareTo(other: Epoch) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** Number of one shard, from zero to the region's shard count minus one. */
@Serializable
@JvmInline
value class ShardNumber(
    val value: Int,
) {
    override fun toString() = value.toString()
}

/** Host and port of a process, written `host:port`. */
@Serializable
@JvmInline
value class Address(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies a part of a prompt, which several prompts may share. */
@Serializable
@JvmInline
value class PromptPart(
    val value: String,
) {
    override fun toString() = value
}
