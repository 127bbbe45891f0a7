/*
 * Runs calls to plain services. Idempotent calls are retried on another target within the deadline and the
 * account's retry budget; all others run at most once.
 */
package yuccaferry.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import yuccaferry.daemon.ledger.BookingLedger
import yuccaferry.daemon.outcome.CallProgress
import yuccaferry.daemon.outcome.executionOf
import yuccaferry.daemon.outcome.joinExecutions
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Grant
import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.daemon.port.ServiceCall
import yuccaferry.daemon.port.ServiceClient
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.TargetAccess
import yuccaferry.daemon.port.TargetError
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.decisions.placement.Demand
import yuccaferry.model.Configuration
import yuccaferry.model.Execution
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind

private const val MOST_ATTEMPTS = 3

/** Runs calls to plain services. */
class PlainCallService(
    private val access: TargetAccess,
    private val services: ServiceClient,
    private val admission: Admission,
    private val configuration: () -> Configuration,
    private val clock: Clock,
    private val telemetry: Telemetry,
    ledger: BookingLedger,
) : PlainCalls {
    private val nonIdempotentCalls = NonIdempotentCalls(access, ledger, clock, ::dispatch)

    override suspend fun call(call: PlainCall): Result<ServiceAnswer, Refusal> =
        if (isIdempotent(call)) callWithRetries(call) else nonIdempotentCalls.call(call)

    private fun isIdempotent(call: PlainCall): Boolean =
        configuration()
            .file.services
            .firstOrNull { it.name == call.service }
            ?.let { call.method in it.idempotentMethods } ?: false

    private suspend fun callWithRetries(call: PlainCall): Result<ServiceAnswer, Refusal> {
        val failed = mutableSetOf<TargetId>()
        val executions = mutableListOf<Execution>()
        var last: TargetError? = null
        for (attempt in 1..MOST_ATTEMPTS) {
            if (attempt > 1 && !admission.takeRetry(call.account.name)) break
            val grant =
                access.acquire(demandOf(call), failed, call.deadline).fold(
                    success = { it },
                    failure = { return if (last == null) Err(refusalOf(it)) else Err(failure(call, checkNotNull(last), executions)) },
                )
            val error = dispatch(call, grant, idempotencyKey = null).fold(success = { return Ok(it) }, failure = { it })
            last = error
            failed += grant.target.id
            executions += executionOf(CallProgress.DISPATCHED, error)
            report(call, grant, error)
        }
        return Err(failure(call, checkNotNull(last), executions))
    }

    /** Sends the call once if the grant is still valid, and releases the grant. */
    private suspend fun dispatch(
        call: PlainCall,
        grant: Grant,
        idempotencyKey: String?,
    ): Result<ServiceAnswer, TargetError> {
        var outcome = UseOutcome.CANCELLED
        try {
            val now = clock.now()
            if (now >= grant.useBy || now >= call.deadline) {
                outcome = UseOutcome.UNUSED
                return Err(TargetError.NotSent("the grant or the deadline expired before the call was sent"))
            }
            val result =
                telemetry.span("service", call.traceparent).use { span ->
                    services.call(grant.target, serviceCall(call, idempotencyKey, span.traceparent))
                }
            outcome = if (result.isOk) UseOutcome.SUCCEEDED else UseOutcome.TARGET_FAILED
            return result
        } finally {
            access.release(grant, outcome)
        }
    }

    private fun serviceCall(
        call: PlainCall,
        idempotencyKey: String?,
        traceparent: String,
    ) = ServiceCall(
        request = call.id,
        method = call.method,
        path = call.path,
        headers = call.headers,
        body = call.body,
        timeLeftMillis = call.deadline - clock.now(),
        idempotencyKey = idempotencyKey,
        traceparent = traceparent,
    )

    private fun demandOf(call: PlainCall) =
        Demand(request = call.id, account = call.account.name, kind = TargetKind.SERVICE, serves = call.service)

    private fun failure(
        call: PlainCall,
        error: TargetError,
        executions: List<Execution>,
    ): Refusal {
        val code = if (clock.now() >= call.deadline) RefusalCode.DEADLINE_EXCEEDED else RefusalCode.TARGET_FAILED
        return Refusal(code, error.message, joinExecutions(executions), repeatable = true)
    }

    private fun report(
        call: PlainCall,
        grant: Grant,
        error: TargetError,
    ) = telemetry.event(
        "call_failed",
        Field("request", call.id),
        Field("service", call.service),
        Field("target", grant.target.id),
        Field("error", error.message),
        severity = Severity.WARN,
    )
}
