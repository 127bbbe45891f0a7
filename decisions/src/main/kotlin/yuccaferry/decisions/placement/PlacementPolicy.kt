/*
 * Placement policies: which targets a request is offered to, in order of preference, and its priority in an
 * engine's queue. A setting selects the policy, so that two runs can be compared that differ in nothing else.
 */
package yuccaferry.decisions.placement

import yuccaferry.model.TargetId

/** Most targets that one decision returns. When all of them refuse, the caller decides again with the next turn. */
const val RANKED_TARGETS = 4

/** Decides where a request is sent. Implementations are stateless. */
sealed interface PlacementPolicy {
    /** Value of the setting that selects this policy. */
    val setting: String

    /**
     * Returns the best targets for [demand], best first: at most [RANKED_TARGETS], and none that [eligible] rejects.
     * The list is empty only when no target of [table] is eligible. Targets without free capacity come last rather
     * than being left out, because views may be out of date.
     *
     * @param turn number of this decision; a caller starts at any number and adds one for each decision.
     */
    fun rank(
        demand: Demand,
        table: TargetTable,
        turn: Long,
        eligible: (TargetView) -> Boolean = { true },
    ): List<TargetId>

    /** Returns the priority of [demand] in an engine's queue after waiting [waitedMillis]; lower is more urgent. */
    fun priorityOf(
        demand: Demand,
        waitedMillis: Long = 0,
    ): Int

    companion object {
        /** All policies that the setting can select. */
        val all: List<PlacementPolicy> = listOf(LengthAware(), RoundRobin, LeastOutstandingRequests)

        /** Returns the policy that [setting] selects, or null when there is none. */
        fun of(setting: String): PlacementPolicy? = all.find { it.setting == setting }
    }
}
