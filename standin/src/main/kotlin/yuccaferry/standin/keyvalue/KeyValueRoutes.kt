// HTTP routes of the key-value stand-in.
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

private const val TOO_MANY_REQUESTS_STATUS = 429
private const val RESOURCE_EXHAUSTED_CODE = 8

/** Routes of the API of [store], with the faults of [injector]. [dropConnections] closes open connections when an outage starts. */
internal fun Route.keyValueRoutes(
    store: Store,
    injector: FaultInjector,
    dropConnections: () -> Unit,
) {
    post("/v3/kv/range") {
        val request = call.receiveJson<RangeRequest>(etcdJson) ?: return@post
        serve(call, injector, CallKind.RANGE) { Ok(store.range(request)) }
    }
    post("/v3/kv/txn") {
        val request = call.receiveJson<TxnRequest>(etcdJson) ?: return@post
        serve(call, injector, if (request.mutates) CallKind.TXN_WRITE else CallKind.TXN_READ) { store.txn(request) }
    }
    post("/v3/lease/grant") {
        val request = call.receiveJson<LeaseRequest>(etcdJson) ?: return@post
        serve(call, injector, CallKind.LEASE_GRANT) { Ok(store.grant(request)) }
    }
    post("/v3/lease/keepalive") {
        val request = call.receiveJson<LeaseRequest>(etcdJson) ?: return@post
        serve(call, injector, CallKind.LEASE_KEEPALIVE) { Ok(StreamResult(store.keepAlive(request))) }
    }
    post("/v3/lease/revoke") {
        val request = call.receiveJson<LeaseRequest>(etcdJson) ?: return@post
        serve(call, injector, CallKind.LEASE_REVOKE) { store.revoke(request) }
    }
    post("/v3/watch") {
        val request = call.receiveJson<WatchRequest>(etcdJson) ?: return@post
        watch(call, store, injector, request.createRequest)
    }
    get("/standin/stats") { call.respondJson(injector.stats()) }
    put("/standin/faults") {
        call.receiveFaults<KeyValueFaults> {
            injector.set(it)
            if (it.outage) dropConnections()
        }
    }
}

private suspend inline fun <reified T> serve(
    call: ApplicationCall,
    injector: FaultInjector,
    kind: CallKind,
    run: () -> Result<T, StoreError>,
) {
    delay(injector.faults.delayMs)
    when (injector.admit(kind)) {
        CallAction.SERVE -> {
            run().fold(success = { call.respondGateway(it) }, failure = { call.respondStoreError(it) })
        }

        CallAction.REJECT -> {
            call.respondGateway(GatewayError("etcdserver: too many requests", RESOURCE_EXHAUSTED_CODE), TOO_MANY_REQUESTS_STATUS)
        }

        CallAction.CUT_OFF -> {
            call.closeConnection()
        }

        CallAction.LOSE_ANSWER -> {
            run()
            call.closeConnection()
        }
    }
}

private suspend fun watch(
    call: ApplicationCall,
    store: Store,
    injector: FaultInjector,
    watch: WatchCreate,
) {
    if (injector.admit(CallKind.WATCH) != CallAction.SERVE) return call.closeConnection()
    injector.addOpenWatches(1)
    try {
        call.respondBytesWriter(ContentType.Application.Json) {
            send(WatchResponse(store.header(), created = true))
            sendChanges(store, watch)
        }
    } finally {
        injector.addOpenWatches(-1)
    }
}

private suspend fun ByteWriteChannel.sendChanges(
    store: Store,
    watch: WatchCreate,
) {
    var from = if (watch.startRevision > 0) watch.startRevision else store.revision.value + 1
    while (true) {
        val currentRevision = store.revision.value
        val events = store.changes(watch, from)
        if (events == null) {
            send(WatchResponse(store.header(), canceled = true, compactRevision = currentRevision))
            return
        }
        if (events.isNotEmpty()) send(WatchResponse(store.header(), events = events))
        from = maxOf(from, currentRevision + 1, (events.lastOrNull()?.kv?.modRevision ?: 0) + 1)
        store.revision.first { it >= from }
    }
}

private suspend fun ByteWriteChannel.send(response: WatchResponse) {
    writeStringUtf8(etcdJson.encodeToString(StreamResult(response)) + "\n")
    flush()
}

private suspend fun ApplicationCall.respondStoreError(error: StoreError) {
    respondGateway(GatewayError(error.message, error.code), error.httpStatus)
}

private suspend inline fun <reified T> ApplicationCall.respondGateway(
    body: T,
    status: Int = HttpStatusCode.OK.value,
) {
    respondText(etcdJson.encodeToString(body), ContentType.Application.Json, HttpStatusCode.fromValue(status))
}
