// Validates a complete operators' file before it is accepted.
package yuccaferry.model

private val SHA256_HEX = Regex("[0-9a-f]{64}")
private val HTTP_METHODS = setOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")

/** Returns every problem in [file]; an empty list means that the file can be accepted. */
fun validate(file: OperatorFile): List<Problem> = OperatorFileValidator(file).run()

private class OperatorFileValidator(
    private val file: OperatorFile,
) {
    private val problems = mutableListOf<Problem>()

    fun run(): List<Problem> {
        check(file.format == OPERATOR_FILE_FORMAT, "$.format", "$OPERATOR_FILE_FORMAT", file.format)
        check(file.zones.isNotEmpty(), "$.zones", "at least one zone", "none")
        checkNames("$.zones", file.zones.map { it.name.value })
        checkNames("$.models", file.models.map { it.name.value })
        checkNames("$.services", file.services.map { it.name.value })
        checkNames("$.accounts", file.accounts.map { it.name.value })
        file.zones.forEachIndexed { i, zone -> checkZone("$.zones[$i]", zone) }
        file.models.forEachIndexed { i, model -> checkModel("$.models[$i]", model) }
        file.services.forEachIndexed { i, service -> checkService("$.services[$i]", service) }
        file.accounts.forEachIndexed { i, account -> checkAccount("$.accounts[$i]", account) }
        checkKeysAreUnique()
        return problems
    }

    private fun checkZone(
        path: String,
        zone: ZoneEntry,
    ) {
        check(zone.region.value.isNotBlank(), "$path.region", "a region name", "\"\"")
    }

    private fun checkModel(
        path: String,
        model: ModelEntry,
    ) {
        check(model.version.value.isNotBlank(), "$path.version", "a version", "\"\"")
        val limits = model.engine
        check(limits.kvTokens > 0, "$path.engine.kvTokens", "a positive number of tokens", limits.kvTokens)
        check(limits.coldRequests > 0, "$path.engine.coldRequests", "a positive number", limits.coldRequests)
        check(
            limits.warmRequests >= limits.coldRequests,
            "$path.engine.warmRequests",
            "at least coldRequests (${limits.coldRequests})",
            limits.warmRequests,
        )
        check(limits.longPrefills > 0, "$path.engine.longPrefills", "a positive number", limits.longPrefills)
    }

    private fun checkService(
        path: String,
        service: PlainServiceEntry,
    ) {
        val clash = file.models.any { it.name == service.name }
        check(!clash, "$path.name", "a name that no model has", "\"${service.name}\"")
        check(service.concurrentRequests > 0, "$path.concurrentRequests", "a positive number", service.concurrentRequests)
        service.idempotentMethods.forEachIndexed { i, method ->
            check(method in HTTP_METHODS, "$path.idempotentMethods[$i]", "one of ${HTTP_METHODS.joinToString()}", "\"$method\"")
        }
    }

    private fun checkAccount(
        path: String,
        account: AccountEntry,
    ) {
        check(account.keySha256.isNotEmpty(), "$path.keySha256", "at least one key hash", "none")
        account.keySha256.forEachIndexed { i, hash ->
            check(SHA256_HEX.matches(hash), "$path.keySha256[$i]", "64 lower-case hex digits", "\"$hash\"")
        }
        val served = file.models.map { it.name } + file.services.map { it.name }
        account.serves.forEachIndexed { i, name ->
            check(name in served, "$path.serves[$i]", "the name of a model or service in this file", "\"$name\"")
        }
        val zones = file.zones.map { it.name }
        account.zones.forEachIndexed { i, name ->
            check(name in zones, "$path.zones[$i]", "one of ${zones.joinToString()}", "\"$name\"")
        }
        check(account.weight > 0, "$path.weight", "a positive number", account.weight)
        check(account.concurrentRequests > 0, "$path.concurrentRequests", "a positive number", account.concurrentRequests)
        check(account.deadlineSeconds > 0, "$path.deadlineSeconds", "a positive number of seconds", account.deadlineSeconds)
    }

    private fun checkKeysAreUnique() {
        val owners = mutableMapOf<String, AccountName>()
        file.accounts.forEachIndexed { i, account ->
            account.keySha256.forEachIndexed { j, hash ->
                val owner = owners.putIfAbsent(hash, account.name)
                check(owner == null, "$.accounts[$i].keySha256[$j]", "a hash that no other entry has", "the hash of $owner")
            }
        }
    }

    private fun checkNames(
        path: String,
        names: List<String>,
    ) {
        names.forEachIndexed { i, name ->
            check(name.isNotBlank(), "$path[$i].name", "a name", "\"\"")
            val first = names.indexOf(name)
            check(first == i, "$path[$i].name", "a name that $path[$first] does not have", "\"$name\"")
        }
    }

    private fun check(
        holds: Boolean,
        path: String,
        expected: String,
        found: Any,
    ) {
        if (!holds) problems += Problem(path, expected, found.toString())
    }
}
