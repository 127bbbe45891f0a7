package yuccaferry.decisions.routing

import yuccaferry.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class RouteTableTest {
    private fun route(
        name: String,
        host: String,
        prefix: String,
    ) = Route(
        name = name,
        host = host,
        prefix = prefix,
        kind = RequestKind.Safe,
        shares = listOf(TrafficShare(ServiceName("s"), 1.0)),
        timeoutMillis = 1_000,
        targetLatencyMillis = 100,
        maxAttempts = 1,
        priority = 1,
        isPublic = true,
    )

    private val table =
        RouteTable(
            listOf(route("root", "a.example", "/"), route("quotes", "a.example", "/quotes/"), route("long", "a.example", "/quotes/long/")),
        )

    @Test
    fun `the longest prefix wins`() {
        assertEquals("long", table.find("a.example", "/quotes/long/7")?.name)
        assertEquals("quotes", table.find("a.example", "/quotes/longer")?.name)
        assertEquals("root", table.find("a.example", "/other")?.name)
    }

    @Test
    fun `a prefix matches itself, but not without its last slash`() {
        assertEquals("quotes", table.find("a.example", "/quotes/")?.name)
        assertEquals("root", table.find("a.example", "/quotes")?.name)
    }

    @Test
    fun `a query is ignored, even with slashes in it`() {
        assertEquals("root", table.find("a.example", "/other?next=/quotes/long/")?.name)
        assertEquals("quotes", table.find("a.example", "/quotes/1?a/b/c/d/e/f")?.name)
    }

    @Test
    fun `the host's case and port are ignored`() {
        assertEquals("quotes", table.find("A.Example:8080", "/quotes/1")?.name)
    }

    @Test
    fun `other hosts have no routes`() {
        assertNull(table.find("b.example", "/quotes/1"))
    }

    @Test
    fun `a split follows its weights and never picks a weight of zero`() {
        val shares = listOf(TrafficShare(ServiceName("a"), 90.0), TrafficShare(ServiceName("b"), 10.0), TrafficShare(ServiceName("c"), 0.0))
        val split = route("r", "h", "/").copy(shares = shares)
        assertEquals(listOf("a", "a", "b", "b"), listOf(0.0, 0.899, 0.901, 0.9999999).map { split.serviceAt(it).value })
    }
}
