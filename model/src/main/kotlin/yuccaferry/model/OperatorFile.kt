/*
 * The operators' declarative file: which models, versions and zones serve which client accounts.
 * It is applied as a whole. Limits of a target that the engine can't state itself are here too.
 */
package yuccaferry.model

import kotlinx.serialization.Serializable

/** The only file format understood so far. */
const val OPERATOR_FILE_FORMAT = 1

/** One complete configuration of the fleet as operators write it. */
@Serializable
data class OperatorFile(
    val format: Int,
    val zones: List<ZoneEntry>,
    val models: List<ModelEntry> = emptyList(),
    val services: List<PlainServiceEntry> = emptyList(),
    val accounts: List<AccountEntry> = emptyList(),
)

/** One availability zone and the region it belongs to. */
@Serializable
data class ZoneEntry(
    val name: ZoneName,
    val region: RegionName,
)

/** One model and what its targets bear. */
@Serializable
data class ModelEntry(
    val name: ServiceName,
    val version: ModelVersion,
    val adapters: List<String> = emptyList(),
    val engine: EngineLimits = EngineLimits(),
)

/**
 * What one engine of a model bears.
 *
 * @property kvTokens tokens of KV memory of one engine.
 * @property coldRequests concurrent requests that a cold engine bears.
 * @property warmRequests concurrent requests that a warm engine bears.
 * @property longPrefills long prompts that may be in prefill on one engine at once.
 * @property checksFencing whether the engine refuses an order with an old fencing token.
 */
@Serializable
data class EngineLimits(
    val kvTokens: Long = 400_000,
    val coldRequests: Int = 2,
    val warmRequests: Int = 32,
    val longPrefills: Int = 1,
    val checksFencing: Boolean = true,
)

/**
 * One plain service.
 *
 * @property idempotentMethods HTTP methods whose calls may be repeated; all others run at most once.
 * @property concurrentRequests concurrent calls that one instance bears.
 */
@Serializable
data class PlainServiceEntry(
    val name: ServiceName,
    val idempotentMethods: List<String> = listOf("GET", "HEAD", "OPTIONS"),
    val concurrentRequests: Int = 64,
)

/**
 * One client account.
 *
 * @property keySha256 lower-case hex SHA-256 of each API key that is valid for the account.
 * @property serves names of the models and plain services that the account may call.
 * @property zones zones whose targets may serve the account; empty means all.
 * @property weight share under fair queueing relative to other accounts.
 * @property concurrentRequests requests in progress at one daemon before new ones are refused.
 * @property deadlineSeconds time allowed for one request of the account.
 */
@Serializable
data class AccountEntry(
    val name: AccountName,
    val keySha256: List<String>,
    val serves: List<ServiceName>,
    val zones: List<ZoneName> = emptyList(),
    val weight: Int = 1,
    val concurrentRequests: Int = 256,
    val deadlineSeconds: Int = 120,
)
