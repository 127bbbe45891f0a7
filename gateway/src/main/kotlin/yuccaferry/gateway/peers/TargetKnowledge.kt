// What a daemon knows of the targets beside the platform's list.
package yuccaferry.gateway.peers

import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.dispatch.LoadReports
import yuccaferry.decisions.dispatch.PeerReports
import yuccaferry.decisions.dispatch.TargetActivity
import yuccaferry.decisions.dispatch.TargetHealth

/**
 * Knowledge of targets that placement uses and daemons tell each other; confined to the event loop.
 *
 * @property work requests in progress, by target.
 * @property health penalties for failures and late answers, as this daemon saw them.
 * @property reports penalties that peers report.
 * @property loads load that targets state of themselves.
 * @property activity when targets last sent anything.
 * @property paces limits of targets that have just started or recovered.
 */
internal class TargetKnowledge(
    telemetry: Telemetry,
) {
    val work = WorkTracker()
    val health = TargetHealth()
    val reports = PeerReports()
    val loads = LoadReports()
    val activity = TargetActivity()
    val paces = TargetPaces(work, health, reports, telemetry)
}
