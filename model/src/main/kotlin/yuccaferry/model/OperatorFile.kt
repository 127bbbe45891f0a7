/*
 * The operators' declarative file: which models, versions and zones serve which client accounts.
 * It is applied as a whole. It also has those limits of a target that the engine can't report itself.
 */
package yuccaferry.model

import kotlinx.serialization.Serializable

/** The only supported file format. */
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

/** One model and the limits of its engines. */
@Serializable
data class ModelEntry(
    val name: ServiceName,
    val version: ModelVersion,
    val adapters: List<String> = emptyList(),
    val engine: EngineLimits = EngineLimits(),
)

/**
 * Limits and abilities of each engine of a model.
 *
 * @property kvTokens KV memory of one engine, in tokens.
 * @property coldRequests maximum number of concurrent requests on a cold engine.
 * @property warmRequests maximum number of concurrent requests on a warm engine.
 * @property longPrefills maximum number of long prompts that are in prefill on one engine at once.
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
 * @property concurrentRequests maximum number of concurrent calls on one instance.
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
 * @property weight weight of the account in fair queueing, relative to other accounts.
 * @property concurrentRequests maximum number of requests in progress at one daemon; further ones are refused.
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
