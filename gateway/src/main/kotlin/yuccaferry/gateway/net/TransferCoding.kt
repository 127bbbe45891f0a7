// Transfer codings of messages (RFC 9112, section 6.1).
package yuccaferry.gateway.net

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpVersion

/** Whether [message] has no transfer coding, or only `chunked`: parsers disagree on where the body of any other message ends. */
internal fun hasSupportedTransferCoding(message: HttpMessage): Boolean {
    val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    if (codings.isEmpty()) return true
    return message.protocolVersion() == HttpVersion.HTTP_1_1 && codings.singleOrNull().isChunked()
}

private fun String?.isChunked() = this != null && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(trim())
