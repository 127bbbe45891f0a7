/*
 * The accepted configuration of the fleet: one head record, replaced by compare-and-swap, in one
 * total order of versions. Zones out of service are a part of their own, so that applying an old
 * file can't bring a zone back.
 */
package yuccaferry.model

import kotlinx.serialization.Serializable

/**
 * One accepted configuration.
 *
 * @property version place in the total order.
 * @property file the operators' file, whole.
 * @property zonesOut zones that operators have taken out of service.
 * @property appliedBy name of the operator whose change made this version.
 * @property attempt identifies the write that made this version.
 */
@Serializable
data class Configuration(
    val version: ConfigurationVersion,
    val file: OperatorFile,
    val zonesOut: Set<ZoneName> = emptySet(),
    val appliedBy: String = "",
    val attempt: AttemptId = AttemptId(""),
) {
    /** Whether targets in [zone] may be given new work. */
    fun inService(zone: ZoneName): Boolean = file.zones.any { it.name == zone } && zone !in zonesOut

    companion object {
        /** What a fleet has before the first file is applied: nobody is served. */
        val EMPTY = Configuration(ConfigurationVersion.NONE, OperatorFile(OPERATOR_FILE_FORMAT, emptyList()))
    }
}
