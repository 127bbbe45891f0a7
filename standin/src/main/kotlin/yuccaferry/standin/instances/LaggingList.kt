// List of instances of which readers see an old version.
package yuccaferry.standin.instances

/** Keeps the current list and returns the one of [lagMillis] ago. [clock] is monotonic, in milliseconds. */
internal class LaggingList(
    initial: InstancesBody,
    private val lagMillis: Long,
    private val clock: () -> Long,
) {
    private class Version(
        val visibleFrom: Long,
        val body: InstancesBody,
    )

    private val versions = ArrayDeque(listOf(Version(Long.MIN_VALUE, initial)))

    /** Replaces the current list; readers see the new one after the lag. */
    @Synchronized
    fun replace(body: InstancesBody) {
        versions.addLast(Version(clock() + lagMillis, body))
    }

    /** Returns the list as it was [lagMillis] ago. */
    @Synchronized
    fun read(): InstancesBody {
        val time = clock()
        while (versions.size > 1 && versions[1].visibleFrom <= time) versions.removeFirst()
        return versions.first().body
    }
}
