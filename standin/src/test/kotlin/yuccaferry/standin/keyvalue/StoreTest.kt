// The store of the key-value stand-in with a clock that the test advances.
package yuccaferry.standin.keyvalue

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import org.junit.jupiter.api.Nested
import java.util.Base64
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class StoreTest {
    private var time = 0L
    private val store = Store { time }

    private fun base64(text: String) = Base64.getEncoder().encodeToString(text.encodeToByteArray())

    private fun swap(
        key: String,
        revision: Long,
        value: String,
        lease: Long = 0,
    ) = store.txn(
        TxnRequest(
            compare = listOf(Compare(base64(key), "MOD", "EQUAL", modRevision = revision)),
            success = listOf(RequestOp(requestPut = PutRequest(base64(key), base64(value), lease))),
            failure = listOf(RequestOp(requestRange = RangeRequest(base64(key)))),
        ),
    )

    private fun prefix(
        text: String,
        after: Long = 0,
    ) = store.range(RangeRequest(base64(text), base64(text.dropLast(1) + (text.last() + 1)), minModRevision = after)).kvs

    @Nested
    inner class `compare-and-swap` {
        @Test
        fun `only the first of two writers of an absent key succeeds`() {
            assertTrue(swap("a", 0, "one").unwrap().succeeded)
            val second = swap("a", 0, "two").unwrap()
            assertFalse(second.succeeded)
            val seen =
                second.responses
                    .single()
                    .responseRange
                    ?.kvs
                    ?.single()
            assertEquals(base64("one"), seen?.value)
            assertEquals(2, seen?.modRevision)
        }

        @Test
        fun `a failed swap does not change the revision`() {
            swap("a", 0, "one")
            swap("a", 7, "two")
            assertEquals(2, store.revision.value)
        }

        @Test
        fun `a prefix read returns only keys changed since a revision`() {
            swap("p/a", 0, "1")
            swap("p/b", 0, "1")
            swap("q", 0, "1")
            assertEquals(listOf(base64("p/b")), prefix("p/", after = 3).map { it.key })
        }

        @Test
        fun `a value above one mebibyte is rejected`() {
            assertEquals(StoreError.TOO_LARGE, swap("a", 0, "x".repeat((1 shl 20) + 1)).getError())
        }
    }

    @Nested
    inner class `a lease` {
        private val lease = store.grant(LeaseRequest(ttl = 2)).id

        @Test
        fun `deletes its keys when it expires`() {
            swap("a", 0, "1", lease)
            time = 1_999
            assertEquals(1, prefix("a").size)
            time = 2_000
            assertEquals(0, prefix("a").size)
            assertEquals(listOf(null, "DELETE"), store.changes(WatchCreate(base64("a")), from = 0)?.map { it.type })
        }

        @Test
        fun `stays valid when it is renewed and can't be renewed after it expires`() {
            time = 1_500
            assertEquals(2, store.keepAlive(LeaseRequest(id = lease)).ttl)
            time = 3_499
            assertTrue(swap("a", 0, "1", lease).isOk)
            time = 3_500
            assertEquals(0, store.keepAlive(LeaseRequest(id = lease)).ttl)
            assertEquals(StoreError.LEASE_NOT_FOUND, swap("b", 0, "1", lease).getError())
        }
    }
}
