/*
 * The accepted configuration of the fleet: one head record, replaced by compare-and-swap, in one
 * total order of versions. Zones out of service are a part of their own, so that applying an old
 * file can't bring a zone back.
 */
package yuccaferry.model

import kotlinx.serialization.Serializable

/** How many earlier attempts a configuration names, so that their writers recognise their own writes. */
const val RECENT_ATTEMPTS_KEPT = 32

/**
 * One accepted configuration.
 *
 * @property version place in the total order.
 * @property file the operators' file, whole.
 * @property zonesOut zones that operators have taken out of service.
 * @property appliedBy name of the operator whose change made this version.
 * @property attempt identifies the write that made this version.
 * @property recentAttempts the writes that made the versions before this one, the latest first,
 * at most [RECENT_ATTEMPTS_KEPT].
 */
@Serializable
data class Configuration(
    val version: ConfigurationVersion,
    val file: OperatorFile,
    val zonesOut: Set<ZoneName> = emptySet(),
    val appliedBy: String = "",
    val attempt: AttemptId = AttemptId(""),
    val recentAttempts: List<AttemptId> = emptyList(),
) {
    /** Whether targets in [zone] may be given new work. */
    fun inService(zone: ZoneName): Boolean = file.zones.any { it.name == zone } && zone !in zonesOut

    /** The version that [attempt] made, null when it made none or one too long ago to be named here. */
    fun versionMadeBy(attempt: AttemptId): ConfigurationVersion? {
        if (version == ConfigurationVersion.NONE) return null
        val age = (listOf(this.attempt) + recentAttempts).indexOf(attempt)
        return if (age < 0) null else ConfigurationVersion(version.value - age)
    }

    companion object {
        /** What a fleet has before the first file is applied: nobody is served. */
        val EMPTY = Configuration(ConfigurationVersion.NONE, OperatorFile(OPERATOR_FILE_FORMAT, emptyList()))
    }
}
