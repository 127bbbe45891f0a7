/*
 * Holds the configuration in force on this daemon; its version never decreases. New versions come from polls of the
 * head record and from other daemons, which this daemon asks while the key-value service is unavailable. A starting
 * daemon is settled once the key-value service has answered, or so many daemons that it can't have missed an accepted
 * version.
 */
package yuccaferry.daemon.configuration

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.ConfigurationPeers
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.HeldConfiguration
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.daemon.tasks.PeriodicTasks
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

/**
 * Number of daemons that each poll of a settled daemon asks for a newer version while the key-value service is unavailable.
 * A daemon that is not settled asks all daemons of its region.
 */
private const val PEERS_ASKED = 3

/** Maximum share of the poll interval by which a poll is early, so that daemons started together do not poll together. */
private const val POLL_JITTER = 0.2

private const val MILLIS_PER_SECOND = 1_000.0

/** The configuration of this daemon. Safe for concurrent use. */
class ConfigurationReplica(
    store: KeyValueStore,
    private val clock: Clock,
    private val telemetry: Telemetry,
    private val peers: ConfigurationPeers,
    private val membership: () -> Membership,
    private val settings: ConfigurationSettings = ConfigurationSettings(),
    private val random: Random = Random.Default,
) {
    private val record = HeadRecord(store)
    private val writer = ConfigurationWriter(record, settings, random, { current }, ::adoptHead)
    private val held = MutableStateFlow(Configuration.EMPTY)
    private val head = MutableStateFlow(Head(0, Configuration.EMPTY))
    private val confirmed = MutableStateFlow<MonotonicTime?>(null)
    private val settledState = MutableStateFlow(false)
    private val unconfirmedReason = MutableStateFlow<String?>(null)
    private val fetching = Mutex()

    init {
        telemetry.gauge("yuccaferry.configuration.version") { current.version.value.toDouble() }
        telemetry.gauge("yuccaferry.configuration.unconfirmed.seconds") { unconfirmedSeconds() }
    }

    /** The configuration in force on this daemon, and each later one. */
    val configurations: StateFlow<Configuration> = held.asStateFlow()

    /** The configuration in force on this daemon. */
    val current: Configuration get() = held.value

    /** [current] with the revision from which it was read, zero if that is not known; sent to other daemons. */
    val heldConfiguration: HeldConfiguration
        get() {
            val newest = current
            val known = head.value
            return HeldConfiguration(newest, if (known.configuration.version == newest.version) known.revision else 0)
        }

    /** Time at which the last read that confirmed [current] was sent to the key-value service; null when there was none. */
    val lastConfirmed: MonotonicTime? get() = confirmed.value

    /** Whether [current] is reliable; until then this daemon may lack an accepted version and must not serve requests. */
    val settled: StateFlow<Boolean> = settledState.asStateFlow()

    /** Polls the head record as one of [tasks] until the job is cancelled. */
    fun start(tasks: PeriodicTasks): Job =
        tasks.start("configuration") {
            refresh()
            (settings.pollMillis * (1 - POLL_JITTER * random.nextDouble())).toLong()
        }

    /** Reads the head record once; asks other daemons if that fails. Returns whether the record confirmed [current]. */
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

    /** Puts [configuration] in force on this daemon if it is newer than [current]. */
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

    /** Fetches the configuration from the daemon at [from] if [version] is above that of [current]; returns the resulting version. */
    suspend fun fetchIfNewer(
        version: ConfigurationVersion,
        from: Address,
    ): ConfigurationVersion {
        if (version > current.version) {
            fetching.withLock {
                if (version > current.version) peers.fetch(from, current.version).get()?.let { adoptFetched(it) }
            }
        }
        return current.version
    }

    /** Replaces the operators' file by [file], which was written against version [base], and returns the new version. */
    suspend fun apply(
        file: OperatorFile,
        base: ConfigurationVersion,
        author: ChangeAuthor,
    ): Result<ConfigurationVersion, ChangeError> = writer.change(author.attempt) { applyFile(it, file, base, author) }

    /** Takes [zone] out of service or back in, independently of concurrent changes, and returns the new version. */
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
        adoptHead(read)
        if (read.configuration.version < before) {
            warnUnconfirmed("the stored version ${read.configuration.version} is below version $before, which is in force on this daemon")
            return false
        }
        confirmed.update { if (it == null || sent > it) sent else it }
        settledState.value = true
        logConfirmedAgain()
        return true
    }

    private fun storeFailed(error: HeadError): Boolean {
        if (error is HeadError.RevisionDecreased) head.value = Head(0, Configuration.EMPTY)
        warnUnconfirmed(error.message)
        return false
    }

    private fun adoptFetched(fetched: HeldConfiguration) = adoptHead(Head(fetched.revision, fetched.configuration))

    private fun adoptHead(read: Head) {
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
        val answers = coroutineScope { known.regionPeers.map { async { fetchFrom(it.address) } }.awaitAll() }
        if (answers.count { it } >= answersToStart(known.regionPeers.size + 1)) {
            telemetry.event("configuration_settled_by_peers", Field("version", current.version), Field("answers", answers.count { it }))
            settledState.value = true
        }
    }

    private suspend fun fetchFrom(peer: Address): Boolean {
        val fetched = peers.fetch(peer, current.version)
        fetched.get()?.let { adoptFetched(it) }
        return fetched.isOk
    }

    /** Logs that the store did not confirm [current]; repeats of the same [message] are not logged. */
    private fun warnUnconfirmed(message: String) {
        if (unconfirmedReason.getAndUpdate { message } == message) return
        telemetry.event("configuration_not_confirmed", Field("reason", message), severity = Severity.WARN)
    }

    private fun logConfirmedAgain() {
        if (unconfirmedReason.getAndUpdate { null } == null) return
        telemetry.event("configuration_confirmed_again", Field("version", current.version))
    }
}
