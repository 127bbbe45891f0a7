// Finds the route of a request by host and longest path prefix.
package yuccaferry.decisions.routing

/** Immutable table of routes; a lookup costs one hash per path segment. */
class RouteTable(
    routes: Collection<Route>,
) {
    private val byHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, list) -> list.associateBy { it.prefix } }

    /** Returns the route with the longest prefix of [path], or null. A port in [host] and a query in [path] are ignored. */
    fun find(
        host: String,
        path: String,
    ): Route? {
        val prefixes = byHost[host.substringBefore(':').lowercase()] ?: return null
        var end = path.substringBefore('?').lastIndexOf('/')
        while (end >= 0) {
            prefixes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
