// Settings and limits of an engine stand-in.
package yuccaferry.standin.engine

/**
 * Settings of one engine.
 *
 * @property kvTokens capacity of the KV memory in tokens.
 * @property coldRequests most concurrent requests of a cold engine; one more crashes it.
 * @property warmRequests most concurrent requests in the batch; more wait.
 * @property decodeTokensPerSecond rate of each stream.
 * @property chunkTokens tokens of one prefill chunk, which is one scheduler step.
 * @property warmAfterRequests successful requests after which a cold engine is warm.
 * @property reportLagMs twice the interval at which load reports and cache events are published; 0 makes each load report current.
 * @property fencing whether calls with an old epoch are rejected.
 * @property restartMs time from a crash until calls are accepted again.
 */
internal data class EngineSettings(
    val name: String = "engine",
    val model: String = "m",
    val version: String = "1",
    val kvTokens: Long = 400_000,
    val coldRequests: Int = 2,
    val warmRequests: Int = 32,
    val prefillTokensPerSecond: Long = 100_000,
    val decodeTokensPerSecond: Long = 27,
    val chunkTokens: Long = 2_048,
    val warmAfterRequests: Int = 4,
    val reportLagMs: Long = 1_000,
    val fencing: Boolean = true,
    val startWarm: Boolean = false,
    val restartMs: Long = 1_000,
)
