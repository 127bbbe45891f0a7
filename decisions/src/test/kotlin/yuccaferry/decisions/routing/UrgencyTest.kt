package yuccaferry.decisions.routing

import org.junit.jupiter.api.Nested
import yuccaferry.model.AccountName
import yuccaferry.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class UrgencyTest {
    private val engines = ServiceName("engines")
    private val desk = ServiceName("desk")

    private fun route(
        service: ServiceName,
        priority: Int,
        isPublic: Boolean = false,
    ) = Route(
        name = "$service-$priority",
        host = "h",
        prefix = "/$service/$priority/",
        kind = RequestKind.Safe,
        shares = listOf(TrafficShare(service, 1.0)),
        timeoutMillis = 10_000,
        targetLatencyMillis = 400,
        maxAttempts = 2,
        priority = priority,
        isPublic = isPublic,
    )

    private fun account(priority: Int?) = Account(AccountName("a-$priority"), setOf("key-$priority"), priority)

    private fun configuration(
        routes: List<Route>,
        accounts: List<Account> = emptyList(),
    ) = RoutingConfiguration(1, routes, emptyList(), accounts, CallerLimits(1_000, 1_000, 1_000, 1_000))

    @Nested
    inner class `of a request` {
        @Test
        fun `is its rank's position among the ranks of the service`() {
            val routes = listOf(route(engines, 1), route(engines, 4), route(engines, 7), route(desk, 2))
            val configuration = configuration(routes)
            assertEquals(Urgency(Rank(4), level = 1, levels = 3), configuration.urgencyOf(routes[1], null, engines))
        }

        @Test
        fun `is none where all ranks of the service are equal`() {
            val routes = listOf(route(engines, 1), route(engines, 4), route(desk, 2))
            assertNull(configuration(routes).urgencyOf(routes[2], null, desk))
        }

        @Test
        fun `follows the account's rank before the route's`() {
            val routes = listOf(route(engines, 3), route(engines, 5))
            val accounts = listOf(account(0), account(null))
            val configuration = configuration(routes, accounts)
            assertEquals(Urgency(Rank(0), level = 0, levels = 3), configuration.urgencyOf(routes[0], accounts[0], engines))
            assertEquals(Urgency(Rank(0), level = 0, levels = 3), configuration.urgencyOf(routes[1], accounts[0], engines))
            assertEquals(Urgency(Rank(3), level = 1, levels = 3), configuration.urgencyOf(routes[0], accounts[1], engines))
        }

        @Test
        fun `is none where only some accounts differ from the common rank of the routes`() {
            val routes = listOf(route(engines, 1), route(engines, 1), route(desk, 2))
            val accounts = listOf(account(0), account(null))
            val configuration = configuration(routes, accounts)
            assertNull(configuration.urgencyOf(routes[0], accounts[0], engines))
            assertNull(configuration.urgencyOf(routes[0], accounts[1], engines))
        }

        @Test
        fun `is none where every account has the same rank whatever the routes say`() {
            val routes = listOf(route(engines, 1), route(engines, 4))
            val accounts = listOf(account(2))
            assertNull(configuration(routes, accounts).urgencyOf(routes[1], accounts[0], engines))
        }

        @Test
        fun `counts the rank of a public route beside those of the accounts`() {
            val routes = listOf(route(engines, 1, isPublic = true), route(engines, 3))
            val accounts = listOf(account(2))
            assertEquals(Urgency(Rank(1), level = 0, levels = 2), configuration(routes, accounts).urgencyOf(routes[0], null, engines))
        }
    }

    @Nested
    inner class `of a request that waits` {
        private val urgency = Urgency(Rank(2), level = 2, levels = 3)

        @Test
        fun `rises by one level with each fifth of its time`() =
            assertEquals(
                listOf(2, 2, 1, 0, -1),
                listOf(0L, 1_999L, 2_000L, 4_000L, 6_000L).map { urgency.agedLevel(it, timeoutMillis = 10_000) },
            )

        @Test
        fun `is told to targets as a rank not below zero`() =
            assertEquals(listOf(Rank(2), Rank(0), Rank(0)), listOf(0L, 4_000L, 9_000L).map { urgency.agedRank(it, timeoutMillis = 10_000) })

        @Test
        fun `is defined for a request without time`() = assertEquals(2, urgency.agedLevel(0, timeoutMillis = 0))
    }
}
