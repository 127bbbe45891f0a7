package yuccaferry.gateway.net

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class HeapAllocatorTest {
    @Test
    fun `buffers to read into are on the heap, and as large as asked for`() {
        val buffers = listOf(HeapAllocator.ioBuffer(), HeapAllocator.ioBuffer(64), HeapAllocator.ioBuffer(8_192, 8_192))

        buffers.forEach { assertFalse(it.isDirect) }
        assertTrue(buffers[1].capacity() == 64 && buffers[2].maxCapacity() == 8_192)
    }

    @Test
    fun `a buffer takes what is written beyond its initial size`() {
        val buffer = HeapAllocator.ioBuffer(4).writeBytes(ByteArray(100))

        assertTrue(buffer.readableBytes() == 100)
    }
}
