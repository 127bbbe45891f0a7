/*
 * Placement policies: which targets a request is offered to, in order of preference, and how urgent it is
 * in an engine's queue. A policy is chosen by a setting, so that two runs can differ in nothing else.
 */
package yuccaferry.decisions.placement

import yuccaferry.model.TargetId

/** Targets that one decision names. When all refuse, the caller decides again with the next turn. */
const val RANKED_TARGETS = 4

/** Decides where a request goes. Implementations keep no state of their own. */
sealed interface PlacementPolicy {
    /** Value of the setting that selects this policy. */
    val setting: String

    /**
     * The best targets for [demand], best first: at most [RANKED_TARGETS], and none that [eligible] rejects.
     * Empty only when no target of [table] is eligible. Targets without room are named last, as views may be late.
     *
     * @param turn number of this decision; a caller starts anywhere and adds one each time.
     */
    fun rank(
        demand: Demand,
        table: TargetTable,
        turn: Long,
        eligible: (TargetView) -> Boolean = { true },
    ): List<TargetId>

    /** Place of [demand] in an engine's queue after waiting [waitedMillis]; lower is more urgent. */
    fun priorityOf(
        demand: Demand,
        waitedMillis: Long = 0,
    ): Int

    companion object {
        /** Every policy that a setting can select. */
        val all: List<PlacementPolicy> = listOf(LengthAware(), RoundRobin, LeastOutstandingRequests)

        /** The policy that [setting] selects, null when there is none. */
        fun of(setting: String): PlacementPolicy? = all.find { it.setting == setting }
    }
}
