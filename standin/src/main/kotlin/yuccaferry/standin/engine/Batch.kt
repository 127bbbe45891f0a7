/*
 * Simulates continuous batching with chunked prefill. Time is a parameter: [Batch.advance] does all work that is due
 * by then. One prefill chunk runs at a time, for the job with the lowest priority number, then the oldest; each tick
 * generates one piece for every decoding job.
 */
package yuccaferry.standin.engine

private const val NANOS_PER_SECOND = 1_000_000_000.0

/** Reason why a job left the batch. */
internal enum class Ending { FINISHED, CANCELLED, DEADLINE, RELEASED, CRASHED }

/** Receives each job that leaves the batch. */
internal fun interface EndListener {
    fun ended(
        job: Job,
        ending: Ending,
    )
}

/** Jobs that an engine runs, holds or queues. All times are in nanoseconds. Not safe for concurrent use. */
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

    private val byPriority = compareBy<Job>({ it.priority }, { it.number })
    private val activeJobs = mutableListOf<Job>()
    private var chunk: Chunk? = null
    private var nextTickAt: Long? = null

    private var slowFactor = 1.0

    val jobs: List<Job> get() = activeJobs
    val running: Int get() = activeJobs.count { it.stage == Stage.PREFILL || it.stage == Stage.DECODE }
    val waiting: Int get() = activeJobs.count { it.stage == Stage.WAITING }

    /** Adds a job, which waits until there is free memory and a free slot in the batch. */
    fun add(job: Job) {
        activeJobs += job
    }

    /** Makes prefill and decode take [factor] times as long, from [now] on. The current chunk starts again. */
    fun slowDown(
        factor: Double,
        now: Long,
    ) {
        slowFactor = factor
        chunk = null
        if (nextTickAt != null) nextTickAt = now + tickNanos()
    }

    /** Removes [job] and frees its memory. */
    fun remove(
        job: Job,
        ending: Ending,
    ) {
        activeJobs -= job
        memory.release(job.tokens)
        if (chunk?.job === job) chunk = null
        if (ending == Ending.FINISHED) memory.store(job.prompt.blocks)
        listener.ended(job, ending)
    }

    /** Drops all jobs, as a crash does. Their memory is not released here. */
    fun crash() {
        val lost = activeJobs.toList()
        activeJobs.clear()
        chunk = null
        nextTickAt = null
        for (job in lost) {
            job.emit(Output.Crashed)
            listener.ended(job, Ending.CRASHED)
        }
    }

    /** Does all work due by [now] and returns the time at which work is due next, null if there is none. */
    fun advance(now: Long): Long? {
        expire(now)
        schedule(now)
        var due = nextStepAt()
        while (due != null && due <= now) {
            step(due)
            schedule(due)
            due = nextStepAt()
        }
        val deadline = activeJobs.minOfOrNull { it.holder.deadline }
        return listOfNotNull(due, deadline).minOrNull()
    }

    private fun nextStepAt(): Long? = listOfNotNull(chunk?.endsAt, nextTickAt).minOrNull()

    private fun step(time: Long) {
        val current = chunk
        if (current != null && current.endsAt <= time) finishChunk(current, time) else tick(time)
    }

    private fun expire(now: Long) {
        for (job in activeJobs.filter { it.holder.deadline <= now }) {
            remove(job, Ending.DEADLINE)
            job.emit(Output.Ended("deadline_passed", "the deadline passed"))
        }
    }

    private fun schedule(time: Long) {
        admit()
        if (chunk == null) chunk = startChunk(time)
    }

    private fun admit() {
        if (activeJobs.none { it.stage == Stage.WAITING }) return
        for (job in activeJobs.filter { it.stage == Stage.WAITING }.sortedWith(byPriority)) {
            if (running >= settings.warmRequests || !memory.reserve(job.needTokens)) return
            job.stage = Stage.PREFILL
            job.cachedTokens = minOf(memory.cache.cachedTokens(job.prompt), job.prefillLeft - 1).coerceAtLeast(0)
            job.prefillLeft -= job.cachedTokens
        }
    }

    private fun startChunk(time: Long): Chunk? {
        val job = activeJobs.filter { it.stage == Stage.PREFILL && !it.stalled }.minWithOrNull(byPriority) ?: return null
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
        if (nextTickAt == null) nextTickAt = time + tickNanos()
    }

    private fun tick(time: Long) {
        val decoding = activeJobs.filter { it.stage == Stage.DECODE }
        decoding.forEach { generate(it) }
        nextTickAt = if (decoding.isEmpty()) null else time + tickNanos()
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
