/*
 * The accepted configuration of the fleet. It is stored as one head record, which is replaced by
 * compare-and-swap, so that all versions form one total order. Zones out of service are not part of
 * the operators' file, so that applying an old file can't put a zone back in service.
 */
package yuccaferry.model

import kotlinx.serialization.Serializable

/** Number of earlier write attempts that a configuration lists, so that their writers recognise their own writes. */
const val RECENT_ATTEMPTS_KEPT = 32

/**
 * One accepted configuration.
 *
 * @property version position in the total order of versions.
 * @property file the complete operators' file.
 * @property zonesOut zones that operators have taken out of service.
 * @property appliedBy name of the operator whose change made this version.
 * @property attempt identifies the write that made this version.
 * @property recentAttempts the writes that made the previous versions, latest first,
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

    /** Returns the version that [attempt] made, or null when it made none or one too old to be listed in [recentAttempts]. */
    fun versionMadeBy(attempt: AttemptId): ConfigurationVersion? {
        if (version == ConfigurationVersion.NONE) return null
        val age = (listOf(this.attempt) + recentAttempts).indexOf(attempt)
        return if (age < 0) null else ConfigurationVersion(version.value - age)
    }

    companion object {
        /** The configuration before the first file is applied; it has no accounts, so every request is refused. */
        val EMPTY = Configuration(ConfigurationVersion.NONE, OperatorFile(OPERATOR_FILE_FORMAT, emptyList()))
    }
}
