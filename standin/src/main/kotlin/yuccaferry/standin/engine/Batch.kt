/*
 * Continuous batch with chunked prefill. Time is a parameter: [Batch.advance] does all that is due by then. One
 * chunk of prefill runs at a time, for the most urgent job; all decoding jobs get a piece at each tick.
 */
package yuccaferry.standin.engine

private const val NANOS_PER_SECOND = 1_000_000_000.0

/** How a job left the batch. */
internal enum class Ending { FINISHED, CANCELLED, DEADLINE, RELEASED, CRASHED }

/** Told about each job that leaves. */
internal fun interface EndListener {
    fun ended(
        job: Job,
        ending: Ending,
    )
}

/** Jobs of one run of an engine. Not safe for concurrent use. */
internal class Batch(
    private val settings: EngineSettings,
    private val memory: KvMemory,
    private val listener: EndListener,
) {
    private class Chunk(
        val job: Job,
        val tokens: Long,
        val endsAt: Long,
    )

    private val byUrgency = compareBy<Job>({ it.priority }, { it.number })
    private val list = mutableListOf<Job>()
    private var chunk: Chunk? = null
    private var nextTick: Long? = null

    private var slowFactor = 1.0

    val jobs: List<Job> get() = list
    val running: Int get() = list.count { it.stage == Stage.PREFILL || it.stage == Stage.DECODE }
    val waiting: Int get() = list.count { it.stage == Stage.WAITING }

    /** Adds a job, which waits until memory and batch have room. */
    fun add(job: Job) {
        list += job
    }

    /** Makes prefill and decode take [factor] times as long, from [now] on. */
    fun slowDown(
        factor: Double,
        now: Long,
    ) {
        slowFactor = factor
        chunk = null
        if (nextTick != null) nextTick = now + tickNanos()
    }

    /** Takes [job] out and frees what it holds. */
    fun remove(
        job: Job,
        ending: Ending,
    ) {
        list -= job
        memory.release(job.tokens)
        if (chunk?.job === job) chunk = null
        if (ending == Ending.FINISHED) memory.store(job.prompt.blocks)
        listener.ended(job, ending)
    }

    /** Drops everything, as a crash does. */
    fun crash() {
        val lost = list.toList()
        list.clear()
        chunk = null
        nextTick = null
        for (job in lost) {
            job.emit(Output.Crashed)
            listener.ended(job, Ending.CRASHED)
        }
    }

    /** Does all that is due by [now] and returns when something is due next, null if nothing is. */
    fun advance(now: Long): Long? {
        expire(now)
        fill(now)
        var due = nextStep()
        while (due != null && due <= now) {
            step(due)
            fill(due)
            due = nextStep()
        }
        val deadline = list.minOfOrNull { it.holder.deadline }
        return listOfNotNull(due, deadline).minOrNull()
    }

    private fun nextStep(): Long? = listOfNotNull(chunk?.endsAt, nextTick).minOrNull()

    private fun step(time: Long) {
        val current = chunk
        if (current != null && current.endsAt <= time) finishChunk(current, time) else tick(time)
    }

    private fun expire(now: Long) {
        for (job in list.filter { it.holder.deadline <= now }) {
            remove(job, Ending.DEADLINE)
            job.emit(Output.Ended("deadline_passed", "the deadline passed"))
        }
    }

    private fun fill(time: Long) {
        admit()
        if (chunk == null) chunk = startChunk(time)
    }

    private fun admit() {
        if (list.none { it.stage == Stage.WAITING }) return
        for (job in list.filter { it.stage == Stage.WAITING }.sortedWith(byUrgency)) {
            if (running >= settings.warmRequests || !memory.reserve(job.needTokens)) return
            job.stage = Stage.PREFILL
            job.cachedTokens = minOf(memory.cache.cachedTokens(job.prompt), job.prefillLeft - 1).coerceAtLeast(0)
            job.prefillLeft -= job.cachedTokens
        }
    }

    private fun startChunk(time: Long): Chunk? {
        val job = list.filter { it.stage == Stage.PREFILL && !it.stalled }.minWithOrNull(byUrgency) ?: return null
        val tokens = minOf(job.prefillLeft, settings.chunkTokens)
        val nanos = tokens * NANOS_PER_SECOND / settings.prefillTokensPerSecond * slowFactor
        return Chunk(job, tokens, time + nanos.toLong())
    }

    private fun finishChunk(
        done: Chunk,
        time: Long,
    ) {
        chunk = null
        val job = done.job
        job.prefillLeft -= done.tokens
        if (job.prefillLeft > 0) return
        memory.store(job.prompt.blocks)
        if (job.gang != null) {
            job.stage = Stage.HELD
            job.emit(Output.Prefilled(job.tokens))
            return
        }
        job.stage = Stage.DECODE
        generate(job)
        if (nextTick == null) nextTick = time + tickNanos()
    }

    private fun tick(time: Long) {
        val decoding = list.filter { it.stage == Stage.DECODE }
        decoding.forEach { generate(it) }
        nextTick = if (decoding.isEmpty()) null else time + tickNanos()
    }

    private fun tickNanos() = (NANOS_PER_SECOND / settings.decodeTokensPerSecond * slowFactor).toLong()

    private fun generate(job: Job) {
        if (job.nextPiece < job.pieces) {
            job.emit(Output.Piece(job.nextPiece, PieceText.piece(job.prompt.seed, job.nextPiece)))
            job.nextPiece++
        }
        if (job.nextPiece < job.pieces) return
        remove(job, Ending.FINISHED)
        job.emit(Output.Finished(job.pieces, job.prompt.tokens, job.cachedTokens))
    }
}
