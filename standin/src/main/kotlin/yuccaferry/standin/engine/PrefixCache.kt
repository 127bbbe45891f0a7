// Prefix cache of an engine. Its blocks use the memory that running work leaves free; the least recently used is evicted first.
package yuccaferry.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val MAX_EVENTS = 4_096
private const val EVENTS_PER_LOST_EVENT = 64

/** Whether a block was stored or evicted. */
@Serializable
internal enum class CacheEventType {
    @SerialName("stored")
    STORED,

    @SerialName("evicted")
    EVICTED,
}

/** One change of the cache; [block] is the block's hash in hexadecimal. */
@Serializable
internal data class CacheEvent(
    val seq: Long,
    val type: CacheEventType,
    val block: String,
)

/** Cached blocks, identified by chained hash. Not safe for concurrent use. */
internal class PrefixCache {
    private val blocks = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val pending = ArrayDeque<CacheEvent>()
    private val published = ArrayDeque<CacheEvent>()
    private var seq = 0L

    /** Returns the number of tokens of the longest cached prefix of [prompt] and marks its blocks as used. */
    fun cachedTokens(prompt: PromptTokens): Long {
        val hits = prompt.blocks.takeWhile { blocks.containsKey(it) }
        hits.asReversed().forEach { blocks[it] = Unit }
        return hits.size.toLong() * BLOCK_TOKENS
    }

    /** Stores as many blocks of [prefix] as fit in [freeTokens], from the start, evicts others for them and returns the number stored. */
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

    /** Evicts blocks until the cache fits in [freeTokens]. */
    fun shrink(freeTokens: Long) {
        val maxBlocks = freeTokens / BLOCK_TOKENS
        val oldest = blocks.keys.iterator()
        var size = blocks.size
        while (size > maxBlocks && oldest.hasNext()) {
            record(CacheEventType.EVICTED, oldest.next())
            oldest.remove()
            size--
        }
    }

    /** Removes all blocks and events, as a restart does. Sequence numbers continue. */
    fun clear() {
        blocks.clear()
        pending.clear()
        published.clear()
    }

    /** Makes pending changes visible, except for one in [EVENTS_PER_LOST_EVENT], which is lost. */
    fun publish() {
        published.addAll(pending.filter { it.seq % EVENTS_PER_LOST_EVENT != 0L })
        pending.clear()
        while (published.size > MAX_EVENTS) published.removeFirst()
    }

    /** Returns the visible changes after sequence number [after]. */
    fun events(after: Long): List<CacheEvent> = published.filter { it.seq > after }

    private fun record(
        type: CacheEventType,
        block: Long,
    ) {
        pending.addLast(CacheEvent(++seq, type, block.toULong().toString(16)))
        while (pending.size > MAX_EVENTS) pending.removeFirst()
    }
}
