// A live daemon, as registered in the platform's store.
package yuccaferry.gateway.view

import yuccaferry.model.DaemonName
import yuccaferry.model.ZoneName
import java.net.InetSocketAddress

/**
 * One live daemon.
 *
 * @property peerAddress address at which it receives messages from other daemons.
 * @property zone its zone; null if it registered none.
 */
data class Member(
    val name: DaemonName,
    val peerAddress: InetSocketAddress,
    val zone: ZoneName?,
)
