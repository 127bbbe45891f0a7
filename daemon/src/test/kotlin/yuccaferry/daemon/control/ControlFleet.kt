// Daemons with their control of shards in one process, and fakes of the parts that it uses.
package yuccaferry.daemon.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.PeerError
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.ShardPeerHandler
import yuccaferry.daemon.port.ShardPeers
import yuccaferry.daemon.port.Telemetry
import yuccaferry.daemon.tasks.PeriodicTasks
import yuccaferry.decisions.shards.DaemonRecord
import yuccaferry.decisions.shards.HandOverRequest
import yuccaferry.decisions.shards.LeaseExtensionRequest
import yuccaferry.decisions.shards.PromiseRequest
import yuccaferry.decisions.shards.Session
import yuccaferry.decisions.shards.ShardId
import yuccaferry.decisions.shards.ShardSettings
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.RegionName
import yuccaferry.model.ZoneName

internal val attica = RegionName("attica")

/** One daemon; [log] has a line for each shard that it imported, recovered or lost, and for each report of a newer configuration. */
internal class ControlledDaemon(
    val id: String,
) : ShardGrants,
    ConfigurationView {
    val log = ArrayList<String>()
    val counts = HashMap<String, Double>()
    lateinit var control: ShardController
    lateinit var job: Job
    override var version = ConfigurationVersion(1)
        get() =
            nextFailure?.let { failure ->
                nextFailure = null
                throw failure
            } ?: field

    /** Thrown by the next read of [version]. */
    var nextFailure: Throwable? = null
        set(value) {
            field = value
            expectsTaskFailure = expectsTaskFailure || value != null
        }

    /** Whether a failed task doesn't fail the test. */
    var expectsTaskFailure = false
        private set

    /** Thrown whenever grants are imported or recovered. */
    var grantsFailure: Throwable? = null
    val table get() = control.table

    override suspend fun export(shard: ShardId) = "from $id".encodeToByteArray()

    override suspend fun import(
        shard: ShardId,
        epoch: Epoch,
        grants: ByteArray,
    ) {
        grantsFailure?.let { throw it }
        log += "import $shard $epoch ${grants.decodeToString()}"
    }

    override suspend fun recover(
        shard: ShardId,
        epoch: Epoch,
    ) {
        grantsFailure?.let { throw it }
        log += "recover $shard $epoch deciding=${table.mayDecide(shard)}"
    }

    override fun discard(shard: ShardId) {
        log += "lost $shard"
    }

    override fun regionOf(zone: ZoneName) = attica.takeIf { zone.value.startsWith("attica") }

    override fun newerVersionAt(
        peer: Address,
        version: ConfigurationVersion,
    ) {
        log += "newer $version"
    }
}

internal class ControlFleet(
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val settings: ShardSettings,
) : ShardPeers {
    val store = LeasedStore(clock)
    val daemons = HashMap<Address, ControlledDaemon>()

    fun start(id: String): ControlledDaemon {
        val daemon = ControlledDaemon(id)
        val address = Address(id)
        val record = DaemonRecord(DaemonId(id), Session(0), id, attica, ZoneName("attica-a"), address, address)
        daemon.control = ShardController(record, settings, store, this, daemon, daemon, clock, CountingTelemetry(daemon.counts))
        daemons[address] = daemon
        daemon.job = daemon.control.start(scope, PeriodicTasks(scope, clock, TaskFailures(scope, daemon)))
        return daemon
    }

    fun end(daemon: ControlledDaemon) {
        daemon.job.cancel()
        daemons -= Address(daemon.id)
    }

    override suspend fun extendLease(
        peer: Address,
        request: LeaseExtensionRequest,
    ) = reach(peer) { it.extendLease(request) }

    override suspend fun promise(
        peer: Address,
        request: PromiseRequest,
    ) = reach(peer) { it.promise(request) }

    override suspend fun handOver(
        peer: Address,
        request: HandOverRequest,
    ) = reach(peer) { it.handOver(request) }

    private suspend fun <T> reach(
        peer: Address,
        action: suspend (ShardPeerHandler) -> T,
    ): Result<T, PeerError> {
        delay(2)
        val daemon = daemons[peer] ?: return Err(PeerError.Unreachable("gone"))
        return Ok(action(daemon.control))
    }
}

/** Fails [scope], and with it the test, when a task of [daemon] fails unexpectedly. */
private class TaskFailures(
    private val scope: CoroutineScope,
    private val daemon: ControlledDaemon,
) : Telemetry by NoTelemetry {
    override fun event(
        name: String,
        vararg fields: Field,
        severity: Severity,
    ) {
        if (name == "task_failed" && !daemon.expectsTaskFailure) scope.launch { error("${daemon.id}: ${fields.joinToString()}") }
    }
}

internal class CountingTelemetry(
    private val counts: HashMap<String, Double>,
) : Telemetry by NoTelemetry {
    override fun count(
        name: String,
        amount: Double,
        vararg labels: Field,
    ) {
        counts.merge("$name ${labels.joinToString(" ") { it.value.toString() }}", amount, Double::plus)
    }

    override fun gauge(
        name: String,
        vararg labels: Field,
        read: () -> Double,
    ) = Unit
}
