// What one engine stand-in is and bears.
package yuccaferry.standin.engine

/**
 * Settings of one engine.
 *
 * @property kvTokens tokens of KV memory.
 * @property coldRequests requests at once that a cold engine bears.
 * @property warmRequests requests at once in the batch of a warm engine; more wait.
 * @property decodeTokensPerSecond pace of each stream.
 * @property chunkTokens tokens of one scheduler step of prefill.
 * @property warmAfterRequests successful requests that make a cold engine warm.
 * @property reportLagMs age of load reports and delay of cache events.
 * @property fencing whether calls with an old epoch are refused.
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
