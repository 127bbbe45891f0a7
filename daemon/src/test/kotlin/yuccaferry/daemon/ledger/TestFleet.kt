// Daemons that can be killed and frozen in virtual time, each with a ledger over one shared fake store, and a fake service.
package yuccaferry.daemon.ledger

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Delay
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.ledger.BookingRecord
import yuccaferry.decisions.ledger.Fingerprint
import yuccaferry.model.AccountName
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.Refusal
import yuccaferry.model.ServiceName
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random

/** Runs no task and no timer while frozen; those that became due meanwhile run in order on [unfreeze]. */
@OptIn(InternalCoroutinesApi::class)
internal class FreezableDispatcher(
    private val delegate: CoroutineDispatcher,
) : CoroutineDispatcher(),
    Delay by delegate as Delay {
    private val held = ArrayDeque<Runnable>()
    private var frozen = false

    fun freeze() {
        frozen = true
    }

    fun unfreeze() {
        frozen = false
        while (held.isNotEmpty()) delegate.dispatch(this, held.removeFirst())
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) = delegate.dispatch(context) { if (frozen) held += block else block.run() }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ) = (delegate as Delay).invokeOnTimeout(timeMillis, { if (frozen) held += block else block.run() }, context)
}

internal class TestTelemetry : Telemetry by NoTelemetry {
    val counts = mutableMapOf<String, Int>()

    override fun count(
        name: String,
        amount: Double,
        vararg labels: Field,
    ) {
        counts.merge("$name ${labels.joinToString { "${it.value}" }}", amount.toInt(), Int::plus)
    }

    override fun gauge(
        name: String,
        vararg labels: Field,
        read: () -> Double,
    ) = Unit
}

internal class TestDaemon(
    scope: TestScope,
    store: FakeStore,
    clock: Clock,
    id: String,
    settings: LedgerSettings,
    seed: Int,
    fault: (TestDaemon) -> Fault,
) {
    private val dispatcher = FreezableDispatcher(StandardTestDispatcher(scope.testScheduler))
    private val background = scope.backgroundScope.coroutineContext
    private val process = CoroutineScope(background + dispatcher + SupervisorJob(background.job))
    val telemetry = TestTelemetry()
    var outage = false
    val ledger =
        BookingLedger(
            daemon = DaemonId(id),
            store = store.connect { if (outage) Fault.Refused else fault(this) },
            clock = clock,
            telemetry = telemetry,
            scope = process,
            settings = settings,
            random = Random(seed),
        )

    /** Runs [work] as a caller's request inside this daemon. */
    fun <V> request(work: suspend BookingLedger.() -> V): Deferred<V> = process.async { ledger.work() }

    fun kill() = process.cancel()

    fun freeze() = dispatcher.freeze()

    fun unfreeze() = dispatcher.unfreeze()
}

/** One store, one service and any number of daemons in the virtual time of [scope]. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class TestFleet(
    private val scope: TestScope,
    private val settings: LedgerSettings = LedgerSettings(),
    private val seed: Int = 1,
) {
    val clock = Clock { MonotonicTime(scope.testScheduler.currentTime) }
    val store = FakeStore(clock, scope.backgroundScope)
    val runs = mutableMapOf<String, Int>()
    private var daemons = 0

    fun daemon(fault: (TestDaemon) -> Fault = { Fault.None() }) =
        TestDaemon(scope, store, clock, "d${++daemons}", settings, seed = seed * 1_000 + daemons, fault)

    fun booking(
        key: String,
        origin: KeyOrigin = KeyOrigin.CALLER,
        body: String = "5 EUR",
        deadlineMillis: Long = 10_000,
    ) = Booking(
        account = AccountName("parish"),
        service = ServiceName("desk-app"),
        idempotencyKey = key,
        keyOrigin = origin,
        fingerprint = Fingerprint.of("POST", "/pledges", body.toByteArray()),
        dispatchBefore = clock.now() + deadlineMillis,
        deadline = clock.now() + deadlineMillis,
    )

    /** Counts a run of [key] and answers with [body]. */
    fun answer(
        key: String,
        body: String = "receipt",
    ): DispatchOutcome {
        runs.merge(key, 1, Int::plus)
        return DispatchOutcome.Answered(ServiceAnswer(201, emptyList(), body.toByteArray()))
    }

    fun record(): BookingRecord = store.get(store.keys().single())?.let { decodeRecord(it.value) } ?: error("no record")
}

internal typealias BookingResult = Result<BookingAnswer, Refusal>

/** A service that answers its calls only after [release] completes. */
internal class HeldService(
    private val fleet: TestFleet,
) {
    val reached = CompletableDeferred<Unit>()
    val release = CompletableDeferred<Unit>()

    suspend fun call(key: String): DispatchOutcome {
        val outcome = fleet.answer(key)
        reached.complete(Unit)
        release.await()
        return outcome
    }
}
