// Protobuf messages and gRPC methods by which daemons exchange configurations.
@file:OptIn(ExperimentalSerializationApi::class)

package yuccaferry.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

private const val SERVICE = "Configuration"

/** Requests the configuration if its version is above [newerThan]. */
@Serializable
internal class FetchRequest(
    @ProtoNumber(1) val newerThan: Long = 0,
)

/** The configuration as compressed JSON, empty when its version is not above the requested one, and its store revision. */
@Serializable
internal class FetchAnswer(
    @ProtoNumber(1) val configuration: ByteArray = ByteArray(0),
    @ProtoNumber(2) val revision: Long = 0,
)

/** Announces that the daemon at [from] has [version]. */
@Serializable
internal class AnnounceRequest(
    @ProtoNumber(1) val version: Long = 0,
    @ProtoNumber(2) val from: String = "",
)

/** Requests the version in force at the receiver. */
@Serializable
internal class VersionRequest

/** The version in force at the daemon that answers. */
@Serializable
internal class VersionAnswer(
    @ProtoNumber(1) val version: Long = 0,
)

internal val fetchMethod = peerMethod(SERVICE, "Fetch", FetchRequest.serializer(), FetchAnswer.serializer())
internal val announceMethod = peerMethod(SERVICE, "Announce", AnnounceRequest.serializer(), VersionAnswer.serializer())
internal val versionMethod = peerMethod(SERVICE, "Version", VersionRequest.serializer(), VersionAnswer.serializer())
