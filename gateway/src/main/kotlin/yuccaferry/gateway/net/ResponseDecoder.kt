// Decodes the responses on a client connection.
package yuccaferry.gateway.net

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass

/** Rejects responses whose status isn't three digits from 100 to 599 (RFC 9110, section 15): clients don't agree on what others mean. */
internal class ResponseDecoder : HttpResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES) {
    /** Method of the request that is answered; responses to `HEAD` have no body. */
    var requestMethod: HttpMethod? = null

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val status = initialLine[STATUS_INDEX]
        require(STATUS.matches(status)) { "expected a status from 100 to 599, found $status" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || (requestMethod == HttpMethod.HEAD && !message.isInformational())

    private companion object {
        /** Maximum bytes of a status line. */
        const val MAX_LINE_BYTES = 4_096

        /** Maximum bytes of all headers. */
        const val MAX_HEADER_BYTES = 32_768

        /** Maximum bytes of a body that the decoder passes on at once. */
        const val MAX_CHUNK_BYTES = 65_536

        /** Index of the status in the parts of a status line. */
        const val STATUS_INDEX = 1
        val STATUS = Regex("[1-5][0-9]{2}")
    }
}

private fun HttpMessage.isInformational() = this is HttpResponse && status().codeClass() == HttpStatusClass.INFORMATIONAL
