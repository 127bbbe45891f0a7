// Allocates the buffers that sockets are read into.
package yuccaferry.gateway.net

import io.netty.buffer.AbstractByteBufAllocator
import io.netty.buffer.ByteBuf
import io.netty.buffer.UnpooledByteBufAllocator

/**
 * Allocates buffers on the heap. Netty's own allocator reads into direct memory; without a pool, each read then allocates and frees such
 * memory, which costs more than the copy that a heap buffer needs.
 */
internal object HeapAllocator : AbstractByteBufAllocator(false) {
    override fun ioBuffer(): ByteBuf = heapBuffer()

    override fun ioBuffer(initialCapacity: Int): ByteBuf = heapBuffer(initialCapacity)

    override fun ioBuffer(
        initialCapacity: Int,
        maxCapacity: Int,
    ): ByteBuf = heapBuffer(initialCapacity, maxCapacity)

    override fun newHeapBuffer(
        initialCapacity: Int,
        maxCapacity: Int,
    ): ByteBuf = UnpooledByteBufAllocator.DEFAULT.heapBuffer(initialCapacity, maxCapacity)

    override fun newDirectBuffer(
        initialCapacity: Int,
        maxCapacity: Int,
    ): ByteBuf = UnpooledByteBufAllocator.DEFAULT.directBuffer(initialCapacity, maxCapacity)

    override fun isDirectBufferPooled() = false
}
