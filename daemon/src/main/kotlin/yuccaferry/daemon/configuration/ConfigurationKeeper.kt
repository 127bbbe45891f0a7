/*
 * Holds the configuration in force at this daemon, which never goes down a version. News comes from
 * a poll of the head record and from other daemons; while the key-value service is away, daemons are
 * asked. A daemon that starts is settled once the key-value service, or enough daemons that no
 * accepted version can have been missed, have answered.
 */
package yuccaferry.daemon.configuration

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.ConfigurationPeers
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.HeldConfiguration
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.configuration.ChangeAuthor
import yuccaferry.decisions.configuration.answersToStart
import yuccaferry.decisions.configuration.applyFile
import yuccaferry.decisions.configuration.newer
import yuccaferry.model.Address
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.MonotonicTime
import yuccaferry.model.OperatorFile
import yuccaferry.model.ZoneName
import kotlin.random.Random
import yuccaferry.decisions.configuration.setZone as decideZone

/** Daemons that are asked for news each time when the key-value service is away. */
private const val PEERS_ASKED = 3

/** A poll comes up to this part of its interval early, so that daemons started together spread out. */
private const val POLL_JITTER = 0.2

private const val MILLIS_PER_SECOND = 1_000.0

/** The configuration of this daemon. Safe for use by many coroutines. */
class ConfigurationKeeper(
    store: KeyValueStore,
    private val clock: Clock,
    private val telemetry: Telemetry,
    private val peers: ConfigurationPeers,
    private val membership: () -> Membership,
    private val settings: ConfigurationSettings = ConfigurationSettings(),
    private val random: Random = Random.Default,
) {
    private val record = HeadRecord(store)
    private val writer = ConfigurationWriter(record, settings, random, { current }, ::learned)
    private val held = MutableStateFlow(Configuration.EMPTY)
    private val head = MutableStateFlow(Head(0, Configuration.EMPTY))
    private val confirmed = MutableStateFlow<MonotonicTime?>(null)
    private val settledNow = MutableStateFlow(false)
    private val unconfirmedReason = MutableStateFlow<String?>(null)
    private val fetching = Mutex()

    init {
        telemetry.gauge("yuccaferry.configuration.version") { current.version.value.toDouble() }
        telemetry.gauge("yuccaferry.configuration.unconfirmed.seconds") { unconfirmedSeconds() }
    }

    /** The configuration in force here, and each later one. */
    val configurations: StateFlow<Configuration> = held.asStateFlow()

    /** The configuration in force here. */
    val current: Configuration get() = held.value

    /** [current] with the revision it was read from, for other daemons. */
    val heldConfiguration: HeldConfiguration
        get() {
            val newest = current
            val known = head.value
            return HeldConfiguration(newest, if (known.configuration.version == newest.version) known.revision else 0)
        }

    /** When the key-value service last confirmed [current], counted from before it was asked; null when it never did. */
    val lastConfirmed: MonotonicTime? get() = confirmed.value

    /** Whether [current] can be relied on: before, an accepted version may be unknown here, and nobody may be served. */
    val settled: StateFlow<Boolean> = settledNow.asStateFlow()

    /** Follows the configuration in [scope] until the job is cancelled. */
    fun start(scope: CoroutineScope): Job =
        scope.launch {
            while (true) {
                refresh()
                delay((settings.pollMillis * (1 - POLL_JITTER * random.nextDouble())).toLong())
            }
        }

    /** Reads the head record once, and asks other daemons if that fails. Returns whether the record confirmed [current]. */
    suspend fun refresh(): Boolean {
        val sent = clock.now()
        val before = current.version
        val read = record.readAfter(head.value)
        val answered =
            read.mapBoth(
                success = { storeAnswered(it, sent, before) },
                failure = { storeFailed(it) },
            )
        if (!answered) askPeers()
        return answered
    }

    /** Takes over [configuration], heard from another daemon, if it is newer. */
    fun adopt(configuration: Configuration) {
        val earlier = current.version
        held.update { newer(it, configuration) }
        if (configuration.version > earlier) {
            telemetry.event(
                "configuration_in_force",
                Field("version", configuration.version),
                Field("zonesOut", configuration.zonesOut.joinToString(",")),
            )
        }
    }

    /** Fetches [version] from the daemon at [from] if it is above the one held; returns the version held then. */
    suspend fun heard(
        version: ConfigurationVersion,
        from: Address,
    ): ConfigurationVersion {
        if (version > current.version) {
            fetching.withLock {
                if (version > current.version) peers.fetch(from, current.version).get()?.let { take(it) }
            }
        }
        return current.version
    }

    /** Replaces the operators' file, written against version [base], and returns the new version. */
    suspend fun apply(
        file: OperatorFile,
        base: ConfigurationVersion,
        author: ChangeAuthor,
    ): Result<ConfigurationVersion, ChangeError> = writer.change(author.attempt) { applyFile(it, file, base, author) }

    /** Takes [zone] out of service or back in, whatever else changes meanwhile, and returns the new version. */
    suspend fun setZone(
        zone: ZoneName,
        out: Boolean,
        author: ChangeAuthor,
    ): Result<ConfigurationVersion, ChangeError> = writer.change(author.attempt) { decideZone(it, zone, out, author) }

    private fun unconfirmedSeconds(): Double = lastConfirmed?.let { (clock.now() - it) / MILLIS_PER_SECOND } ?: Double.POSITIVE_INFINITY

    private fun storeAnswered(
        read: Head,
        sent: MonotonicTime,
        before: ConfigurationVersion,
    ): Boolean {
        learned(read)
        if (read.configuration.version < before) {
            warn("the stored version ${read.configuration.version} is below version $before, which is held here")
            return false
        }
        confirmed.update { if (it == null || sent > it) sent else it }
        settledNow.value = true
        noteConfirmed()
        return true
    }

    private fun storeFailed(error: HeadError): Boolean {
        if (error is HeadError.WentBack) head.value = Head(0, Configuration.EMPTY)
        warn(error.message)
        return false
    }

    private fun take(fetched: HeldConfiguration) = learned(Head(fetched.revision, fetched.configuration))

    private fun learned(read: Head) {
        head.update { if (read.revision > it.revision) read else it }
        adopt(read.configuration)
    }

    private suspend fun askPeers() {
        val known = membership()
        if (settled.value) {
            known.others
                .shuffled(random)
                .take(PEERS_ASKED)
                .forEach { fetchFrom(it.address) }
            return
        }
        val answers = coroutineScope { known.neighbours.map { async { fetchFrom(it.address) } }.awaitAll() }
        if (answers.count { it } >= answersToStart(known.neighbours.size + 1)) {
            telemetry.event("configuration_settled_by_peers", Field("version", current.version), Field("answers", answers.count { it }))
            settledNow.value = true
        }
    }

    private suspend fun fetchFrom(peer: Address): Boolean {
        val fetched = peers.fetch(peer, current.version)
        fetched.get()?.let { take(it) }
        return fetched.isOk
    }

    /** Logs that the store did not confirm, once for each reason. */
    private fun warn(message: String) {
        if (unconfirmedReason.getAndUpdate { message } == message) return
        telemetry.event("configuration_not_confirmed", Field("reason", message), severity = Severity.WARN)
    }

    private fun noteConfirmed() {
        if (unconfirmedReason.getAndUpdate { null } == null) return
        telemetry.event("configuration_confirmed_again", Field("version", current.version))
    }
}
