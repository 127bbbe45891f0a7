// HTTP calls of the key-value stand-in.
package yuccaferry.standin.keyvalue

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import yuccaferry.standin.server.closeConnection
import yuccaferry.standin.server.receiveFaults
import yuccaferry.standin.server.receiveJson
import yuccaferry.standin.server.respondJson

private const val RATE_EXCEEDED_STATUS = 429
private const val RESOURCE_EXHAUSTED = 8

/** All calls of [store], as [gate] admits them; [dropConnections] ends the open ones. */
internal fun Route.keyValueRoutes(
    store: Store,
    gate: CallGate,
    dropConnections: () -> Unit,
) {
    post("/v3/kv/range") {
        val request = call.receiveJson<RangeRequest>(etcdJson) ?: return@post
        serve(call, gate, CallKind.RANGE) { Ok(store.range(request)) }
    }
    post("/v3/kv/txn") {
        val request = call.receiveJson<TxnRequest>(etcdJson) ?: return@post
        serve(call, gate, if (request.mutates) CallKind.TXN_WRITE else CallKind.TXN_READ) { store.txn(request) }
    }
    post("/v3/lease/grant") {
        val request = call.receiveJson<LeaseRequest>(etcdJson) ?: return@post
        serve(call, gate, CallKind.LEASE_GRANT) { Ok(store.grant(request)) }
    }
    post("/v3/lease/keepalive") {
        val request = call.receiveJson<LeaseRequest>(etcdJson) ?: return@post
        serve(call, gate, CallKind.LEASE_KEEPALIVE) { Ok(StreamResult(store.keepAlive(request))) }
    }
    post("/v3/lease/revoke") {
        val request = call.receiveJson<LeaseRequest>(etcdJson) ?: return@post
        serve(call, gate, CallKind.LEASE_REVOKE) { store.revoke(request) }
    }
    post("/v3/watch") {
        val request = call.receiveJson<WatchRequest>(etcdJson) ?: return@post
        watch(call, store, gate, request.createRequest)
    }
    get("/standin/stats") { call.respondJson(gate.stats()) }
    put("/standin/faults") {
        call.receiveFaults<KeyValueFaults> {
            gate.set(it)
            if (it.outage) dropConnections()
        }
    }
}

private suspend inline fun <reified T> serve(
    call: ApplicationCall,
    gate: CallGate,
    kind: CallKind,
    run: () -> Result<T, StoreRefusal>,
) {
    delay(gate.faults.delayMs)
    when (gate.admit(kind)) {
        Verdict.SERVE -> {
            run().fold(success = { call.respondGateway(it) }, failure = { call.respondRefusal(it) })
        }

        Verdict.REJECT -> {
            call.respondGateway(GatewayError("etcdserver: too many requests", RESOURCE_EXHAUSTED), RATE_EXCEEDED_STATUS)
        }

        Verdict.CUT_OFF -> {
            call.closeConnection()
        }

        Verdict.LOSE_ANSWER -> {
            run()
            call.closeConnection()
        }
    }
}

private suspend fun watch(
    call: ApplicationCall,
    store: Store,
    gate: CallGate,
    watch: WatchCreate,
) {
    if (gate.admit(CallKind.WATCH) != Verdict.SERVE) return call.closeConnection()
    gate.watches(1)
    try {
        call.respondBytesWriter(ContentType.Application.Json) {
            send(WatchResponse(store.header(), created = true))
            follow(store, watch)
        }
    } finally {
        gate.watches(-1)
    }
}

private suspend fun ByteWriteChannel.follow(
    store: Store,
    watch: WatchCreate,
) {
    var from = if (watch.startRevision > 0) watch.startRevision else store.revision.value + 1
    while (true) {
        val seen = store.revision.value
        val events = store.changes(watch, from)
        if (events == null) {
            send(WatchResponse(store.header(), canceled = true, compactRevision = seen))
            return
        }
        if (events.isNotEmpty()) send(WatchResponse(store.header(), events = events))
        from = maxOf(from, seen + 1, (events.lastOrNull()?.kv?.modRevision ?: 0) + 1)
        store.revision.first { it >= from }
    }
}

private suspend fun ByteWriteChannel.send(response: WatchResponse) {
    writeStringUtf8(etcdJson.encodeToString(StreamResult(response)) + "\n")
    flush()
}

private suspend fun ApplicationCall.respondRefusal(refusal: StoreRefusal) {
    respondGateway(GatewayError(refusal.message, refusal.code), refusal.httpStatus)
}

private suspend inline fun <reified T> ApplicationCall.respondGateway(
    body: T,
    status: Int = HttpStatusCode.OK.value,
) {
    respondText(etcdJson.encodeToString(body), ContentType.Application.Json, HttpStatusCode.fromValue(status))
}
