// Settings of one daemon: a versioned JSON file, read once at startup.
package yuccaferry.app

import kotlinx.serialization.Serializable
import yuccaferry.decisions.placement.PlacementPolicy
import yuccaferry.http.admin.OperatorToken
import yuccaferry.model.Address
import yuccaferry.model.Problem
import yuccaferry.model.RegionName
import yuccaferry.model.ZoneName

/** The only supported settings version. */
const val SETTINGS_VERSION = 1

private const val SHA256_HEX_LENGTH = 64

/**
 * Settings of one daemon.
 *
 * @property name name of this daemon in logs, metrics and status.
 * @property region region of [zone].
 * @property callers address to listen on for callers' requests.
 * @property admin address to listen on for operators' calls, health, readiness and metrics.
 * @property peers address to listen on for calls of other daemons.
 * @property platform addresses of the platform's services.
 * @property operators operators who may change the configuration.
 * @property peerSeeds addresses of other daemons, which are asked for the configuration while the key-value service is unavailable.
 * @property policy placement policy: `length-aware`, `least-outstanding` or `round-robin`.
 */
@Serializable
data class DaemonSettings(
    val settingsVersion: Int,
    val name: String,
    val region: RegionName,
    val zone: ZoneName,
    val callers: Listener,
    val admin: Listener,
    val peers: Listener,
    val platform: PlatformSettings,
    val operators: List<OperatorToken> = emptyList(),
    val peerSeeds: List<PeerSeed> = emptyList(),
    val policy: String = "length-aware",
    val limits: LimitSettings = LimitSettings(),
    val control: ControlSettings = ControlSettings(),
    val traces: TraceSettings = TraceSettings(),
)

/**
 * An address to listen on.
 *
 * @property port port number; zero picks a free port, which is printed at startup.
 */
@Serializable
data class Listener(
    val host: String,
    val port: Int,
)

/**
 * The platform's services.
 *
 * @property keyValue addresses of the key-value service, tried in order from the one that was used last.
 * @property instances address of the instance list.
 * @property timeoutMillis timeout of one call.
 */
@Serializable
data class PlatformSettings(
    val keyValue: List<Address>,
    val instances: Address,
    val timeoutMillis: Long = 2_000,
)

/** Another daemon, by its peer address. */
@Serializable
data class PeerSeed(
    val address: Address,
    val region: RegionName,
)

/**
 * Limits of this process.
 *
 * @property bodyBytes maximum size of the body of a caller's request.
 * @property attempts maximum number of engines on which one prompt is tried.
 * @property firstPieceStallMillis time to the first piece, in addition to the time for prefill, after which an engine counts as hung.
 * @property pieceStallMillis time between two pieces after which an engine counts as hung.
 * @property drainLagMillis time after the start of a graceful shutdown in which new callers may still be sent to this daemon.
 * @property drainMillis maximum time after [drainLagMillis] for which a graceful shutdown waits for requests in progress.
 */
@Serializable
data class LimitSettings(
    val bodyBytes: Long = 16L * 1024 * 1024,
    val attempts: Int = 4,
    val firstPieceStallMillis: Long = 10_000,
    val pieceStallMillis: Long = 5_000,
    val drainLagMillis: Long = 3_000,
    val drainMillis: Long = 600_000,
)

/**
 * Control of targets; the same on all daemons of a fleet.
 *
 * @property seatsPerRegion number of shards into which a region's targets are divided.
 * @property leaseMillis time to live of a daemon's lease.
 * @property configurationPollMillis time between two reads of the configuration's version.
 * @property instancePollMillis time between two reads of the instance list.
 * @property observeMillis time between two reads of the list of an engine's work.
 * @property orphanGraceMillis time without a record in the key-value service after which a daemon's work on engines is cancelled.
 */
@Serializable
data class ControlSettings(
    val seatsPerRegion: Int = 64,
    val leaseMillis: Long = 15_000,
    val configurationPollMillis: Long = 1_000,
    val instancePollMillis: Long = 1_000,
    val observeMillis: Long = 500,
    val orphanGraceMillis: Long = 10_000,
)

/**
 * Export of traces.
 *
 * @property otlpUrl OTLP endpoint for traces over HTTP, such as `http://127.0.0.1:4318/v1/traces`; null for none.
 */
@Serializable
data class TraceSettings(
    val otlpUrl: String? = null,
)

/** Returns all problems in [settings] that the types of their fields don't rule out. */
fun validate(settings: DaemonSettings): List<Problem> {
    val problems = mutableListOf<Problem>()

    fun check(
        holds: Boolean,
        path: String,
        expected: String,
        found: Any?,
    ) {
        if (!holds) problems += Problem(path, expected, found.toString())
    }
    check(settings.settingsVersion == SETTINGS_VERSION, "$.settingsVersion", "$SETTINGS_VERSION", settings.settingsVersion)
    check(settings.name.isNotBlank(), "$.name", "a name", "\"\"")
    val listeners = mapOf("callers" to settings.callers, "admin" to settings.admin, "peers" to settings.peers)
    for ((name, listener) in listeners) {
        check(listener.port in 0..65_535, "$.$name.port", "a port from 0 to 65535", listener.port)
    }
    check(settings.platform.keyValue.isNotEmpty(), "$.platform.keyValue", "at least one address", "none")
    check(
        settings.platform.timeoutMillis > 0,
        "$.platform.timeoutMillis",
        "a positive number of milliseconds",
        settings.platform.timeoutMillis,
    )
    settings.operators.forEachIndexed { i, operator ->
        check(
            operator.tokenSha256.length == SHA256_HEX_LENGTH,
            "$.operators[$i].tokenSha256",
            "64 hex digits",
            "a string of length ${operator.tokenSha256.length}",
        )
    }
    val policies = PlacementPolicy.all.joinToString { it.setting }
    check(PlacementPolicy.of(settings.policy) != null, "$.policy", "one of $policies", "\"${settings.policy}\"")
    check(settings.limits.bodyBytes > 0, "$.limits.bodyBytes", "a positive number of bytes", settings.limits.bodyBytes)
    check(settings.limits.attempts > 0, "$.limits.attempts", "a positive number", settings.limits.attempts)
    check(settings.control.seatsPerRegion > 0, "$.control.seatsPerRegion", "a positive number", settings.control.seatsPerRegion)
    return problems
}
