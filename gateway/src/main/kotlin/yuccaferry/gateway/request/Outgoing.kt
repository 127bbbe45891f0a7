// Converts a caller's request to the request that is sent to a target.
package yuccaferry.gateway.request

import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.net.OutgoingRequest
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.port.SendDetails

/** Returns this request with the headers that [format] derives from it and [details]; method, path and body are unchanged. */
internal fun IncomingRequest.toTarget(
    format: RequestFormat,
    details: SendDetails,
) = OutgoingRequest(method, uri, format.forwardedHeaders(this, details), body)
