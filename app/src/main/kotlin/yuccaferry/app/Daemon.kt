// Wires the adapters and use cases of one daemon, and starts and stops them in order.
package yuccaferry.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.admin.DaemonLocation
import yuccaferry.daemon.admin.DaemonView
import yuccaferry.daemon.configuration.ConfigurationAnnouncer
import yuccaferry.daemon.configuration.ConfigurationChanges
import yuccaferry.daemon.configuration.ConfigurationFreshness
import yuccaferry.daemon.configuration.ConfigurationReplica
import yuccaferry.daemon.configuration.ConfigurationSettings
import yuccaferry.daemon.configuration.Membership
import yuccaferry.daemon.configuration.ShardConfigurationView
import yuccaferry.daemon.control.ShardController
import yuccaferry.daemon.control.ShardTable
import yuccaferry.daemon.grants.GrantDecider
import yuccaferry.daemon.grants.GrantTransfer
import yuccaferry.daemon.grants.OrphanCollector
import yuccaferry.daemon.grants.ShardTargetAccess
import yuccaferry.daemon.grants.SummarySharing
import yuccaferry.daemon.grants.TargetLoads
import yuccaferry.daemon.grants.TargetObserver
import yuccaferry.daemon.ledger.BookingLedger
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.GrantAnswer
import yuccaferry.daemon.port.GrantPeerHandler
import yuccaferry.daemon.port.GrantRequest
import yuccaferry.daemon.port.ReleaseNotice
import yuccaferry.daemon.request.Admission
import yuccaferry.daemon.request.Gangs
import yuccaferry.daemon.request.GenerationLimits
import yuccaferry.daemon.request.GenerationService
import yuccaferry.daemon.request.LengthBasedCostEstimator
import yuccaferry.daemon.request.PlainCallService
import yuccaferry.daemon.targets.TargetDirectory
import yuccaferry.daemon.tasks.PeriodicTasks
import yuccaferry.decisions.configuration.Member
import yuccaferry.decisions.grants.TargetSummary
import yuccaferry.decisions.placement.PlacementPolicy
import yuccaferry.decisions.shards.DaemonRecord
import yuccaferry.decisions.shards.Session
import yuccaferry.decisions.shards.ShardSettings
import yuccaferry.http.admin.OperatorTokens
import yuccaferry.http.admin.adminModule
import yuccaferry.http.callers.CallersApi
import yuccaferry.model.Address
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.peer.ConfigurationPeerService
import yuccaferry.peer.GrpcConfigurationPeers
import yuccaferry.peer.GrpcGrantPeers
import yuccaferry.peer.GrpcShardPeers
import yuccaferry.peer.PeerChannels
import yuccaferry.peer.PeerServer
import yuccaferry.peer.grantPeerService
import yuccaferry.peer.shardPeerService
import yuccaferry.platform.EtcdKeyValueStore
import yuccaferry.platform.HttpInstanceList
import yuccaferry.platform.StoreCallListener
import yuccaferry.target.HttpEngineClient
import yuccaferry.target.HttpServiceClient
import yuccaferry.target.targetHttpClient
import yuccaferry.telemetry.DaemonTelemetry
import yuccaferry.telemetry.otlpExporter
import java.util.UUID

private const val TICK_MILLIS = 50L
private const val CONTROL_LEAVE_TIMEOUT_MILLIS = 10_000L
private const val NANOS_PER_MILLI = 1_000_000L
private const val ID_CHARACTERS = 8

/** One daemon, idle until [start]; calls [onDrain] when an operator requests a graceful shutdown. */
internal class Daemon(
    private val settings: DaemonSettings,
    private val onDrain: () -> Unit,
) {
    private val id = DaemonId("${settings.name}-${UUID.randomUUID().toString().take(ID_CHARACTERS)}")
    private val clock = Clock { MonotonicTime(System.nanoTime() / NANOS_PER_MILLI) }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val telemetry = DaemonTelemetry(settings.name, settings.traces.otlpUrl?.let { otlpExporter(it) })
    private val tasks = PeriodicTasks(scope, clock, telemetry)
    private val store = EtcdKeyValueStore(settings.platform.keyValue, settings.platform.timeoutMillis, storeCalls())
    private val channels = PeerChannels()
    private val targetClient = targetHttpClient()
    private val serviceClient = HttpServiceClient()
    private val engines = HttpEngineClient(targetClient)
    private val configurationPeers = GrpcConfigurationPeers(channels)
    private val grantPeers = GrpcGrantPeers(channels)
    private val policy = checkNotNull(PlacementPolicy.of(settings.policy))
    private val peerServer = PeerServer(settings.peers.host, settings.peers.port)
    private var peerAddress = Address("")
    private var control: ShardController? = null
    private val emptyTable = EmptyShardTable(id)
    private val shardTable: ShardTable get() = control?.table ?: emptyTable

    private val replica =
        ConfigurationReplica(
            store = store,
            clock = clock,
            telemetry = telemetry,
            peers = configurationPeers,
            membership = ::membership,
            settings = ConfigurationSettings(pollMillis = settings.control.configurationPollMillis),
        )
    private val configuration = { replica.current }
    private val freshness = ConfigurationFreshness(replica, { shardTable }, clock)
    private val announcer = ConfigurationAnnouncer(replica, configurationPeers, ::membership, scope)
    private val changes = ConfigurationChanges(replica, announcer, telemetry)
    private val instances = HttpInstanceList(settings.platform.instances, settings.platform.timeoutMillis)
    private val directory = TargetDirectory(instances, configuration, telemetry, settings.control.instancePollMillis)
    private val decider = GrantDecider({ shardTable }, directory, configuration, { freshness.isFresh }, clock, telemetry)
    private val orphans = OrphanCollector({ shardTable }, engines, clock, telemetry, settings.control.orphanGraceMillis)
    private val observer = TargetObserver(decider, engines, orphans, clock, settings.control.observeMillis)
    private val targetLoads = TargetLoads(directory, policy, clock)
    private val sharing = SummarySharing(decider, targetLoads, { shardTable }, grantPeers)
    private val access =
        ShardTargetAccess(
            self = id,
            shardTable = { shardTable },
            directory = directory,
            targetLoads = targetLoads,
            policy = policy,
            decider = decider,
            peers = grantPeers,
            configuration = configuration,
            onNewerConfiguration = { version, peer -> replica.fetchIfNewer(version, peer) },
            clock = clock,
            telemetry = telemetry,
            scope = scope,
        )
    private val admission = Admission(configuration, clock)
    private val generations =
        GenerationService(
            daemon = id,
            access = access,
            engines = engines,
            gangs = Gangs(id, access, engines, clock, scope),
            costEstimator = LengthBasedCostEstimator(policy),
            admission = admission,
            clock = clock,
            telemetry = telemetry,
            background = scope,
            limits =
                GenerationLimits(
                    attempts = settings.limits.attempts,
                    firstPieceStallMillis = settings.limits.firstPieceStallMillis,
                    pieceStallMillis = settings.limits.pieceStallMillis,
                ),
        )
    private val ledger = BookingLedger(id, store, clock, telemetry, scope)
    private val plainCalls =
        PlainCallService(access, serviceClient, admission, configuration, clock, telemetry, ledger)
    private val callersApi =
        CallersApi(admission, generations, plainCalls, configuration, clock, settings.limits.bodyBytes)

    private val view =
        DaemonView(
            location = DaemonLocation(id, settings.region, settings.zone),
            replica = replica,
            admission = admission,
            shardTable = { shardTable },
            directory = directory,
            targetLoads = targetLoads,
            costs = { emptyList() },
            failingTasks = tasks::failing,
            startDrain = onDrain,
            clock = clock,
            telemetry = telemetry,
        )

    private lateinit var adminServer: NettyServer
    private lateinit var callersServer: NettyServer

    /** Starts all servers, joins the fleet, and prints one line for each port that the daemon listens on. */
    suspend fun start() {
        peerServer.start()
        peerAddress = Address("${settings.peers.host}:${peerServer.port}")
        peerServer.add(grantPeerService(scope, GrantHandler()))
        peerServer.add(ConfigurationPeerService(replica).definition())
        adminServer = startServer(settings.admin) { adminModule(changes, view, OperatorTokens(settings.operators), telemetry::scrape) }
        replica.refresh()
        directory.refresh()
        replica.start(tasks)
        directory.start(tasks)
        join()
        observer.start(tasks)
        sharing.start(scope, tasks)
        startExpiry()
        callersServer = startServer(settings.callers) { callersApi.install(this) }
        announce("admin", settings.admin.host, portOf(adminServer))
        announce("peers", settings.peers.host, peerServer.port)
        announce("callers", settings.callers.host, portOf(callersServer))
        telemetry.event("started", Field("id", id), Field("zone", settings.zone))
    }

    private suspend fun join() {
        val record =
            DaemonRecord(
                id = id,
                session = Session(0),
                name = settings.name,
                region = settings.region,
                zone = settings.zone,
                peer = peerAddress,
                admin = Address("${settings.admin.host}:${portOf(adminServer)}"),
            )
        val controller =
            ShardController(
                record = record,
                settings = ShardSettings(shardsPerRegion = settings.control.seatsPerRegion, leaseMillis = settings.control.leaseMillis),
                store = store,
                peers = GrpcShardPeers(channels),
                shardGrants = GrantTransfer(decider, observer, telemetry),
                configuration = ShardConfigurationView(replica, scope),
                clock = clock,
                telemetry = telemetry,
            )
        control = controller
        peerServer.add(shardPeerService(scope, controller))
        controller.start(scope, tasks)
    }

    /**
     * Shuts down gracefully: reports not ready, so that no new callers come, waits up to a limit for requests in progress
     * and for bookings to be recorded, hands its shards over, and stops.
     */
    suspend fun leave() {
        telemetry.event("leaving")
        admission.drain()
        delay(settings.limits.drainLagMillis)
        val until = clock.now() + settings.limits.drainMillis
        while (admission.inProgress > 0 && clock.now() < until) delay(TICK_MILLIS)
        withTimeoutOrNull(until - clock.now()) { ledger.drain() }
        control?.leave(CONTROL_LEAVE_TIMEOUT_MILLIS)
        stop()
    }

    private fun stop() {
        callersServer.stop(gracePeriodMillis = 200, timeoutMillis = 1_000)
        adminServer.stop(gracePeriodMillis = 0, timeoutMillis = 500)
        peerServer.close()
        scope.cancel()
        channels.close()
        targetClient.close()
        serviceClient.close()
        telemetry.event("stopped")
        telemetry.close()
    }

    private fun startExpiry() =
        tasks.start("expiry") {
            decider.tick()
            TICK_MILLIS
        }

    private fun membership(): Membership {
        val joined = shardTable.members.filter { it.id != id }.map { Member(it.peer, it.region) }
        val seeds = settings.peerSeeds.map { Member(it.address, it.region) }.filter { it.address != peerAddress }
        return Membership(self = Member(peerAddress, settings.region), others = joined.ifEmpty { seeds }, voters = voters())
    }

    private fun voters(): List<Member> {
        val regions =
            replica.current.file.zones
                .map { it.region }
                .toSet()
        return regions.flatMap { region -> shardTable.voterSet(region).members.map { Member(it.peer, region) } }
    }

    private inner class GrantHandler : GrantPeerHandler {
        override suspend fun requestGrant(request: GrantRequest): GrantAnswer = decider.requestGrant(request)

        override fun release(notice: ReleaseNotice) = decider.release(notice)

        override fun share(summaries: List<TargetSummary>) = summaries.forEach { targetLoads.update(it) }
    }

    private fun storeCalls() =
        StoreCallListener { kind, outcome, millis ->
            telemetry.time("yuccaferry.store.calls", millis, Field("kind", kind), Field("end", outcome))
        }

    private fun announce(
        role: String,
        host: String,
        port: Int,
    ) {
        println("listening name=${settings.name} role=$role address=$host:$port")
        System.out.flush()
    }
}
