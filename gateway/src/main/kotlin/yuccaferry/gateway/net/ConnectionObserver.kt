// Port to the log of requests that end without the handler's complete answer.
package yuccaferry.gateway.net

/** Is told of each request on a server's connections that ends without a complete answer by the handler. */
fun interface ConnectionObserver {
    /** How far a request had come. */
    enum class Stage { RECEIVING, WAITING, ANSWERING }

    /** Called for [request], null if its head can't be read; its body is empty unless it was received completely. */
    fun onRequestDropped(
        request: IncomingRequest?,
        stage: Stage,
        reason: String,
    )
}
