// Messages by which daemons spread configurations, and the methods that carry them.
@file:OptIn(ExperimentalSerializationApi::class)

package yuccaferry.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

private const val SERVICE = "Configuration"

/** Asks for a configuration above version [newerThan]. */
@Serializable
internal class FetchRequest(
    @ProtoNumber(1) val newerThan: Long = 0,
)

/** The configuration as compressed JSON; empty when the version held is not above the one asked for; and its revision. */
@Serializable
internal class FetchAnswer(
    @ProtoNumber(1) val configuration: ByteArray = ByteArray(0),
    @ProtoNumber(2) val revision: Long = 0,
)

/** Tells that the daemon at [from] holds [version]. */
@Serializable
internal class AnnounceRequest(
    @ProtoNumber(1) val version: Long = 0,
    @ProtoNumber(2) val from: String = "",
)

/** Asks for the version held. */
@Serializable
internal class VersionRequest

/** The version held. */
@Serializable
internal class VersionAnswer(
    @ProtoNumber(1) val version: Long = 0,
)

internal val fetchMethod = peerMethod(SERVICE, "Fetch", FetchRequest.serializer(), FetchAnswer.serializer())
internal val announceMethod = peerMethod(SERVICE, "Announce", AnnounceRequest.serializer(), VersionAnswer.serializer())
internal val versionMethod = peerMethod(SERVICE, "Version", VersionRequest.serializer(), VersionAnswer.serializer())
