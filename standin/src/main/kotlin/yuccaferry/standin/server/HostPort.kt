// An address to listen on or to connect to.
package yuccaferry.standin.server

/** Host and port, written `host:port`. */
data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString() = "$host:$port"

    companion object {
        /** Parses `host:port`; throws [IllegalArgumentException] when [text] is not of this form. */
        fun parse(text: String): HostPort {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            require(host.isNotEmpty() && port != null) { "expected HOST:PORT, found \"$text\"" }
            return HostPort(host, port)
        }
    }
}
