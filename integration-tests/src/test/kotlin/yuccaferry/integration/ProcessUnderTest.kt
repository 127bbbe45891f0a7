/*
 * Runs a program of the product as a separate process with the class path of the tests. Its output goes to a file
 * below target/process-logs. Processes that a test leaves running are killed when the tests' JVM ends.
 */
package yuccaferry.integration

import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val START_BOUND_SECONDS = 60L
private const val END_BOUND_SECONDS = 20L
private const val NO_ROLE = ""

/** A POSIX signal, named as `kill` takes it. */
internal enum class Signal { STOP, CONT, HUP, TERM, KILL }

/** A started process. */
internal class ProcessUnderTest private constructor(
    val name: String,
    private val process: Process,
    log: File,
) : AutoCloseable {
    private val addresses = ConcurrentHashMap<String, CompletableFuture<String>>()

    init {
        thread(isDaemon = true, name = "output-$name") { copyOutput(log) }
    }

    val pid: Long get() = process.pid()
    val alive: Boolean get() = process.isAlive

    /** Waits until the process announces its address for [role] and returns that address. */
    fun address(role: String = NO_ROLE): String =
        try {
            announced(role).get(START_BOUND_SECONDS, TimeUnit.SECONDS)
        } catch (_: TimeoutException) {
            error("$name did not announce an address for role \"$role\" in $START_BOUND_SECONDS s")
        }

    /** Sends [signal]; fails if that is not possible although the process is alive. */
    fun signal(signal: Signal) {
        val exit = ProcessBuilder("kill", "-$signal", "$pid").inheritIO().start().waitFor()
        check(exit == 0 || !alive) { "could not send $signal to $name" }
    }

    /** Waits for the end of the process and returns its exit status. */
    fun awaitEnd(): Int {
        check(process.waitFor(END_BOUND_SECONDS, TimeUnit.SECONDS)) { "$name did not end in $END_BOUND_SECONDS s" }
        return process.exitValue()
    }

    /** Kills the process if it is still running. */
    override fun close() {
        process.destroyForcibly()
        process.waitFor(END_BOUND_SECONDS, TimeUnit.SECONDS)
        running -= this
    }

    private fun announced(role: String) = addresses.computeIfAbsent(role) { CompletableFuture() }

    private fun copyOutput(log: File) {
        log.printWriter().use { out ->
            process.inputStream.bufferedReader().forEachLine { line ->
                out.println(line)
                out.flush()
                ANNOUNCEMENT.matchEntire(line)?.let { announced(it.groupValues[1]).complete(it.groupValues[2]) }
            }
        }
        addresses.values.forEach { it.completeExceptionally(IllegalStateException("$name ended; see $log")) }
    }

    companion object {
        private val ANNOUNCEMENT = Regex("listening name=\\S+(?: role=(\\S+))? address=(\\S+)")
        private val logs = File("target/process-logs").apply { mkdirs() }
        private val numbers = AtomicInteger()
        private val running = ConcurrentHashMap.newKeySet<ProcessUnderTest>()

        init {
            Runtime.getRuntime().addShutdownHook(Thread { running.toList().forEach { it.process.destroyForcibly() } })
        }

        /** Starts [mainClass] with [arguments] in a JVM with a heap of [heapMegabytes]; [stackKilobytes] null means the default stacks. */
        fun start(
            name: String,
            mainClass: String,
            arguments: List<String>,
            heapMegabytes: Int = 96,
            stackKilobytes: Int? = null,
        ): ProcessUnderTest {
            val stack = listOfNotNull(stackKilobytes?.let { "-Xss${it}k" })
            val options = listOf("-Xmx${heapMegabytes}m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto") + stack
            val java = File(System.getProperty("java.home"), "bin/java").path
            val command = listOf(java) + options + listOf("-cp", System.getProperty("java.class.path"), mainClass) + arguments
            val process = ProcessBuilder(command).redirectErrorStream(true).start()
            val log = File(logs, "$name-${numbers.incrementAndGet()}.log")
            return ProcessUnderTest(name, process, log).also { running += it }
        }
    }
}
