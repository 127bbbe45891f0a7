// A caller's request as it goes to a target.
package yuccaferry.gateway.request

import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.net.OutgoingRequest
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.port.SendDetails

/** This request with the headers that [format] makes of it and [details]; method, path and body stay as they are. */
internal fun IncomingRequest.toTarget(
    format: RequestFormat,
    details: SendDetails,
) = OutgoingRequest(method, uri, format.forwardedHeaders(this, details), body)
