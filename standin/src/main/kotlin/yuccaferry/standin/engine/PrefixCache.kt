// Prefix cache of an engine: blocks in the memory that running work leaves over, least recently used out first.
package yuccaferry.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val EVENTS_KEPT = 4_096
private const val EVENTS_PER_GAP = 64

/** Whether a block came or went. */
@Serializable
internal enum class CacheEventType {
    @SerialName("stored")
    STORED,

    @SerialName("evicted")
    EVICTED,
}

/** One change of the cache. */
@Serializable
internal data class CacheEvent(
    val seq: Long,
    val type: CacheEventType,
    val block: String,
)

/** Blocks by chained hash. Not safe for concurrent use. */
internal class PrefixCache {
    private val blocks = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val pending = ArrayDeque<CacheEvent>()
    private val published = ArrayDeque<CacheEvent>()
    private var seq = 0L

    /** Tokens of the longest cached prefix of [prompt]; marks it as used. */
    fun cachedTokens(prompt: PromptTokens): Long {
        val hits = prompt.blocks.takeWhile { blocks.containsKey(it) }
        hits.asReversed().forEach { blocks[it] = Unit }
        return hits.size.toLong() * BLOCK_TOKENS
    }

    /** Keeps as many of [prefix] as [freeTokens] allow, from the start, and evicts others for them. */
    fun store(
        prefix: LongArray,
        freeTokens: Long,
    ): Int {
        val kept = prefix.take((freeTokens / BLOCK_TOKENS).toInt())
        for (block in kept.asReversed()) {
            if (blocks.put(block, Unit) == null) record(CacheEventType.STORED, block)
        }
        shrink(freeTokens)
        return kept.size
    }

    /** Evicts until the cache fits in [freeTokens]. */
    fun shrink(freeTokens: Long) {
        val room = freeTokens / BLOCK_TOKENS
        val oldest = blocks.keys.iterator()
        var size = blocks.size
        while (size > room && oldest.hasNext()) {
            record(CacheEventType.EVICTED, oldest.next())
            oldest.remove()
            size--
        }
    }

    /** Forgets all blocks and events, as a restart does. */
    fun clear() {
        blocks.clear()
        pending.clear()
        published.clear()
    }

    /** Makes the changes so far visible, but for one in [EVENTS_PER_GAP], which is lost. */
    fun publish() {
        published.addAll(pending.filter { it.seq % EVENTS_PER_GAP != 0L })
        pending.clear()
        while (published.size > EVENTS_KEPT) published.removeFirst()
    }

    /** Visible changes after [after]. */
    fun events(after: Long): List<CacheEvent> = published.filter { it.seq > after }

    private fun record(
        type: CacheEventType,
        block: Long,
    ) {
        pending.addLast(CacheEvent(++seq, type, block.toULong().toString(16)))
        while (pending.size > EVENTS_KEPT) pending.removeFirst()
    }
}
