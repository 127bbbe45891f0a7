// A value of which readers see an old version.
package yuccaferry.standin.instances

/** Keeps the true list and shows what it was [lagMillis] ago on the monotonic clock [now]. */
internal class LaggingList(
    initial: InstancesBody,
    private val lagMillis: Long,
    private val now: () -> Long,
) {
    private class Version(
        val visibleFrom: Long,
        val body: InstancesBody,
    )

    private val versions = ArrayDeque(listOf(Version(Long.MIN_VALUE, initial)))

    /** Replaces the true list; readers see it after the lag. */
    @Synchronized
    fun replace(body: InstancesBody) {
        versions.addLast(Version(now() + lagMillis, body))
    }

    /** The list as it was one lag ago. */
    @Synchronized
    fun read(): InstancesBody {
        val time = now()
        while (versions.size > 1 && versions[1].visibleFrom <= time) versions.removeFirst()
        return versions.first().body
    }
}
