// Callers that send one prompt after another, spread round-robin over the daemons behind a load balancer.
package yuccaferry.integration.control

import yuccaferry.integration.Answer
import yuccaferry.integration.Caller
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Sends prompts from [callers] threads to the addresses that [balancer] returns, until [stop]. */
internal class SteadyLoad(
    callers: Int,
    private val pieces: Int,
    private val balancer: () -> List<String>,
) {
    private val stopped = AtomicBoolean()
    private val number = AtomicInteger()
    private val answers = ConcurrentLinkedQueue<Answer>()
    private val threads = (1..callers).map { thread(name = "caller-$it") { run() } }

    /** Answers that were not whole so far. */
    val failures: List<Answer> get() = answers.filterNot { it.whole }

    /** Whole answers so far. */
    val successes: Int get() = answers.count { it.whole }

    /** Ends the load after the requests in progress and returns all answers. */
    fun stop(): List<Answer> {
        stopped.set(true)
        threads.forEach { it.join() }
        return answers.toList()
    }

    private fun run() {
        while (!stopped.get()) {
            val i = number.getAndIncrement()
            val addresses = balancer()
            answers += Caller(addresses[i % addresses.size]).stream("steady load, prompt $i", pieces)
        }
    }
}
