/*
 * A simulated model engine with a batch, KV memory and a prefix cache. A cold engine crashes when it has more requests
 * than [EngineSettings.coldRequests]; it restarts empty and with a new incarnation.
 */
package yuccaferry.standin.engine

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.UUID

private const val NANOS_PER_MILLI = 1_000_000L
private const val WAITING_LIMIT = 1_024

/** Notified when work may be due earlier than [Engine.advance] last returned, and when the engine crashes. */
internal interface EngineListener {
    fun workAdded() = Unit

    fun crashed() = Unit
}

/** One simulated engine; safe for concurrent use. [clock] is monotonic, in nanoseconds. */
internal class Engine(
    val settings: EngineSettings,
    private val clock: () -> Long,
    private val listener: EngineListener,
) {
    private val randomId = UUID.randomUUID().toString().take(8)
    private val memory = KvMemory(settings.kvTokens)
    private val records = EngineRecords()
    private val batch = Batch(settings, memory, ::ended)
    private val exports = mutableMapOf<String, Export>()
    private var state = LoadedState(settings.model, settings.version)
    private var warm = settings.startWarm
    private var finishedSinceCold = 0
    private var crashes = 0
    private var downUntil = Long.MIN_VALUE
    private var highestEpoch = Long.MIN_VALUE
    private var lastNumber = 0L
    private var faults = EngineFaults()
    private var reportedAt = clock()
    private var report = currentLoad()

    private val incarnation get() = "${settings.name}-$randomId-$crashes"

    /** Returns whether the engine serves calls: false for [EngineSettings.restartMs] after a crash. */
    @Synchronized
    fun available(): Boolean = clock() >= downUntil

    /** Accepts a completion or returns why it is rejected. A [stalled] request holds memory and makes no progress. */
    @Synchronized
    fun submit(
        request: CompletionRequest,
        stalled: Boolean = false,
    ): Result<Job, Rejection> {
        val text = request.prompt ?: request.messages?.toString() ?: return reject(400, "invalid_request", "neither prompt nor messages")
        if (request.model != state.model) return reject(404, "model_not_loaded", "${state.model} is loaded")
        val fullPrompt = PromptTokens.of(request.model, text)
        val ownTokens = (fullPrompt.tokens - request.gangTokens).coerceAtLeast(0)
        val prompt = if (request.gangTokens == 0L) fullPrompt else PromptTokens(fullPrompt.seed, fullPrompt.tokens, LongArray(0))
        val job =
            Job(
                holder = holder(request.requestId, request.owner, request.epoch, request.deadlineMs),
                gang = null,
                priority = request.priority,
                number = ++lastNumber,
                prompt = prompt,
                needTokens = ownTokens + request.maxTokens,
                prefillTokens = ownTokens + PromptTokens.tokens(request.deliveredText),
                firstPiece = request.firstPiece,
                pieces = request.maxTokens,
                stalled = stalled,
            )
        return accept(job, request.epoch)
    }

    /** Accepts a segment or returns why it is rejected. */
    @Synchronized
    fun submit(request: SegmentRequest): Result<Job, Rejection> {
        val prompt = PromptTokens.of(state.model, request.text)
        val job =
            Job(
                holder = holder(request.requestId, request.owner, request.epoch, request.deadlineMs),
                gang = request.gangId,
                priority = request.priority,
                number = ++lastNumber,
                prompt = prompt,
                needTokens = prompt.tokens,
                prefillTokens = prompt.tokens,
                firstPiece = 0,
                pieces = 0,
                stalled = false,
            )
        return accept(job, request.epoch)
    }

    /** Cancels every attempt of the request [id]; returns false if there is none. */
    @Synchronized
    fun cancel(id: String): Boolean {
        val found = batch.jobs.filter { it.gang == null && it.holder.id == id }
        found.forEach { end(it, Ending.CANCELLED) }
        return found.isNotEmpty()
    }

    /** Releases the segments of [gang] and returns how many there were. */
    @Synchronized
    fun releaseGang(gang: String): Int {
        val found = batch.jobs.filter { it.gang == gang }
        found.forEach { end(it, Ending.RELEASED) }
        return found.size
    }

    /** Exports the KV cache of a request or segment whose prefill is done. */
    @Synchronized
    fun export(request: ExportRequest): Result<Exported, Rejection> {
        checkEpoch(request.epoch)?.let { return Err(it) }
        val job = batch.jobs.firstOrNull { it.holder.id == request.requestId && it.prefillLeft <= 0L }
        if (job == null) return reject(400, "invalid_request", "no request ${request.requestId} whose prefill is done")
        if (!memory.reserve(job.prompt.tokens)) return reject(503, "out_of_memory", "not enough KV memory for the export")
        val handle = "$incarnation-x${++lastNumber}"
        exports[handle] = Export(holder(handle, request.owner, request.epoch, request.deadlineMs), job.prompt.tokens, job.prompt.blocks)
        return Ok(Exported(handle, job.prompt.tokens))
    }

    /** Returns the contents of an export, null if there is none. */
    @Synchronized
    fun exported(handle: String): ExportBody? = exports[handle]?.let { ExportBody(it.tokens, it.blocks.toList()) }

    /** Releases an export; returns false if there is none. */
    @Synchronized
    fun releaseExport(handle: String): Boolean {
        val export = exports.remove(handle) ?: return false
        memory.release(export.tokens)
        listener.workAdded()
        return true
    }

    /** Puts imported blocks into the prefix cache and returns the number of tokens that fitted. */
    @Synchronized
    fun import(body: ExportBody): Long = memory.store(body.blocks.toLongArray()).toLong() * BLOCK_TOKENS

    /**
     * Switches to the model, version, adapters and role of [request], unless fencing is on and a higher epoch was seen. Another
     * model or version makes the engine cold and empties its prefix cache.
     */
    @Synchronized
    fun order(request: OrderRequest): Result<LoadedState, Rejection> {
        checkEpoch(request.epoch)?.let { return Err(it) }
        val wanted = LoadedState(request.model, request.version, request.adapters, request.role)
        if (wanted.model != state.model || wanted.version != state.version) {
            memory.cache.clear()
            turnCold()
        }
        if (wanted != state) records.recordOrder(wanted)
        state = wanted
        return Ok(state)
    }

    /** Returns all requests, segments and exports that hold memory or wait for it. */
    @Synchronized
    fun requests(): RequestsBody {
        val items = batch.jobs.map(::describe) + exports.values.map(::describe)
        return RequestsBody(incarnation, warm, items)
    }

    /** Returns the load report as it was last published; if [EngineSettings.reportLagMs] is 0, publishes it first. */
    @Synchronized
    fun report(): LoadBody {
        if (settings.reportLagMs == 0L) publish()
        return report.copy(ageMs = (clock() - reportedAt) / NANOS_PER_MILLI)
    }

    /** Returns the published cache events after sequence number [after]. */
    @Synchronized
    fun cacheEvents(after: Long): CacheEventsBody {
        val events = memory.cache.events(after)
        return CacheEventsBody(events.lastOrNull()?.seq ?: after, events)
    }

    /** Publishes the current load and cache events. */
    @Synchronized
    fun publish() {
        reportedAt = clock()
        report = currentLoad()
        memory.cache.publish()
    }

    /** Replaces the faults and applies those that happen once. */
    @Synchronized
    fun setFaults(new: EngineFaults) {
        faults = new
        batch.slowDown(new.slowFactor, clock())
        listener.workAdded()
        if (new.turnCold) turnCold()
        if (new.crash) crash()
    }

    /** Returns the faults of the next request and decrements [EngineFaults.times] if it is set; at 0 there are no faults. */
    @Synchronized
    fun takeFaults(): EngineFaults {
        val current = faults
        val left = current.times ?: return current
        if (current.exhausted) return EngineFaults()
        faults = current.copy(times = left - 1)
        return current
    }

    /** Returns the engine's own records. */
    @Synchronized
    fun stats(): StatsBody = records.snapshot(currentLoad(), memory, crashes)

    /** Does all work due by now; returns the nanoseconds until more is due, null if there is none. */
    @Synchronized
    fun advance(): Long? {
        val now = clock()
        return batch.advance(now)?.let { it - clock() }
    }

    private fun accept(
        job: Job,
        epoch: Long?,
    ): Result<Job, Rejection> {
        checkEpoch(epoch)?.let { return Err(it) }
        if (job.holder.deadline <= clock()) return reject(410, "deadline_passed", "the deadline has passed")
        if (job.needTokens > memory.capacity) return reject(503, "out_of_memory", "needs ${job.needTokens} of ${memory.capacity} tokens")
        if (batch.waiting >= WAITING_LIMIT) return reject(503, "overloaded", "$WAITING_LIMIT requests are already waiting")
        if (job.gang == null) records.recordAccepted(job.holder.id)
        batch.add(job)
        val active = batch.jobs.count { it.stage != Stage.HELD }
        if (!warm) records.recordColdRequests(active)
        if (!warm && active > settings.coldRequests) crash() else listener.workAdded()
        return Ok(job)
    }

    private fun checkEpoch(epoch: Long?): Rejection? {
        if (epoch == null || !settings.fencing) return null
        if (epoch < highestEpoch) {
            records.recordRejection("stale_epoch")
            return Rejection(409, "stale_epoch", "epoch $epoch is older than $highestEpoch")
        }
        highestEpoch = epoch
        return null
    }

    private fun reject(
        status: Int,
        code: String,
        message: String,
    ): Result<Nothing, Rejection> {
        records.recordRejection(code)
        return Err(Rejection(status, code, message))
    }

    private fun end(
        job: Job,
        ending: Ending,
    ) {
        batch.remove(job, ending)
        job.emit(Output.Ended("cancelled", "cancelled by its owner"))
        listener.workAdded()
    }

    private fun ended(
        job: Job,
        ending: Ending,
    ) {
        if (job.gang == null) records.recordEnd(job.holder.id, ending)
        if (ending != Ending.FINISHED) return
        finishedSinceCold++
        if (finishedSinceCold >= settings.warmAfterRequests) warm = true
    }

    private fun turnCold() {
        warm = false
        finishedSinceCold = 0
    }

    private fun crash() {
        crashes++
        batch.crash()
        exports.clear()
        memory.clear()
        turnCold()
        highestEpoch = Long.MIN_VALUE
        downUntil = clock() + settings.restartMs * NANOS_PER_MILLI
        publish()
        listener.crashed()
    }

    private fun holder(
        id: String,
        owner: String,
        epoch: Long?,
        deadlineMs: Long,
    ) = Holder(id, owner, epoch ?: 0, clock() + deadlineMs * NANOS_PER_MILLI)

    private fun describe(job: Job) =
        heldBody(if (job.gang == null) "request" else "segment", job.gang ?: job.holder.id, job.holder, job.tokens, job.prefillLeft)

    private fun describe(export: Export) = heldBody("export", export.holder.id, export.holder, export.tokens, 0)

    private fun heldBody(
        kind: String,
        id: String,
        holder: Holder,
        tokens: Long,
        prefillLeft: Long,
    ) = HeldBody(kind, id, holder.owner, holder.epoch, tokens, prefillLeft, (holder.deadline - clock()) / NANOS_PER_MILLI)

    private fun currentLoad() =
        LoadBody(
            incarnation = incarnation,
            warm = warm,
            model = state.model,
            version = state.version,
            adapters = state.adapters,
            role = state.role,
            kvTokens = memory.capacity,
            kvUsedTokens = memory.used,
            running = batch.running,
            waiting = batch.waiting,
            waitingPrefillTokens = batch.jobs.sumOf { it.prefillLeft },
        )
}
