// Measures time and allocation of one placement decision, for each policy and several fleet sizes.
package yuccaferry.benchmark

import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Fork
import org.openjdk.jmh.annotations.Level
import org.openjdk.jmh.annotations.Measurement
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import org.openjdk.jmh.annotations.Warmup
import yuccaferry.decisions.placement.Demand
import yuccaferry.decisions.placement.PlacementPolicy
import yuccaferry.decisions.placement.TargetTable
import yuccaferry.decisions.placement.TargetView
import yuccaferry.decisions.placement.blockHashes
import yuccaferry.model.AccountName
import yuccaferry.model.EngineLimits
import yuccaferry.model.RequestId
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneName
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private const val SEED = 20_261_204
private const val DEMAND_COUNT = 64
private const val LONG_ENGINE_SHARE = 0.1
private const val FULL = "full"
private val ZONES = listOf("attica-a", "attica-b", "attica-c").map(::ZoneName)
private val MODEL = ServiceName("brush-llm")

/** A fleet of [targets] engines; one zone in three is out of service. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(value = 1, jvmArgsAppend = ["-Xmx512m"])
open class PlacementBenchmark {
    @Param("length-aware", "least-outstanding", "round-robin")
    lateinit var policy: String

    @Param("27", "370", "1500", "6000")
    @JvmField
    var targets = 0

    /** `loaded`: engines have from none to all but one of their allowed requests; `full`: all are at their request limit. */
    @Param("loaded", FULL)
    lateinit var load: String

    private lateinit var placementPolicy: PlacementPolicy
    private lateinit var demands: List<Demand>
    private val table = TargetTable()
    private val inService = { view: TargetView -> view.zone != ZONES[0] }
    private var turn = 0L

    /** Fills the table and draws the demands. */
    @Setup(Level.Trial)
    fun fill() {
        val random = Random(SEED)
        placementPolicy = checkNotNull(PlacementPolicy.of(policy))
        repeat(targets) { table.put(engine(it, random)) }
        demands = List(DEMAND_COUNT) { demand(it, random) }
    }

    /** Ranks the targets for the next demand of a mix of prompt lengths. */
    @Benchmark
    fun decide(): List<TargetId> {
        val demand = demands[(turn % DEMAND_COUNT).toInt()]
        return placementPolicy.rank(demand, table, turn++, inService)
    }

    private fun engine(
        number: Int,
        random: Random,
    ): TargetView {
        val limits = EngineLimits()
        val long = random.nextDouble() < LONG_ENGINE_SHARE
        return TargetView(
            id = TargetId("engine-$number"),
            zone = ZONES[number % ZONES.size],
            kind = TargetKind.ENGINE,
            serves = MODEL,
            limits = limits,
            outstandingRequests = if (load == FULL) limits.warmRequests else random.nextInt(limits.warmRequests),
            outstandingPrefillTokens = random.nextLong(20_000) + if (long) 300_000 else 0,
            heldTokens = random.nextLong(100_000),
            longPrefills = if (long) 1 else 0,
        )
    }

    private fun demand(
        number: Int,
        random: Random,
    ): Demand {
        val tokens = if (number == 0) 200_000L else random.nextLong(1_000, 20_000)
        return Demand(
            request = RequestId("request-$number"),
            account = AccountName("studio"),
            kind = TargetKind.ENGINE,
            serves = MODEL,
            promptTokens = tokens,
            heldTokens = tokens + 64,
            prefixBlocks = blockHashes("thread ${number / 4}".padEnd(40_000, '.')),
        )
    }
}
