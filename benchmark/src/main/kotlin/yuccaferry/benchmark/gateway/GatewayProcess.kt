// A gateway started by the command of the deploy file, and the processor time that its threads take.
package yuccaferry.benchmark.gateway

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.io.File
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.io.path.readText

/** Processor time in milliseconds, and how often the thread went to sleep. */
internal class Usage(
    val millis: Double,
    val sleeps: Long,
) {
    operator fun minus(other: Usage) = Usage(millis - other.millis, sleeps - other.sleeps)

    operator fun plus(other: Usage) = Usage(millis + other.millis, sleeps + other.sleeps)

    companion object {
        val NONE = Usage(0.0, 0)
    }
}

/** Addresses of a gateway on loopback. */
internal class GatewayPorts(
    val callers: InetSocketAddress,
    val readiness: InetSocketAddress,
    val metrics: InetSocketAddress,
    val peers: InetSocketAddress,
) {
    companion object {
        /** Returns addresses that were free just now. */
        fun free(): GatewayPorts {
            val sockets = List(4) { ServerSocket(0) }
            val addresses = sockets.map { InetSocketAddress("127.0.0.1", it.localPort) }.also { sockets.forEach { it.close() } }
            return GatewayPorts(addresses[0], addresses[1], addresses[2], addresses[3])
        }
    }
}

/** A running gateway process; its log is a temporary file. */
internal class GatewayProcess private constructor(
    private val process: Process,
    val ports: GatewayPorts,
) : AutoCloseable {
    /** Returns what each thread used so far, by name; Linux truncates names to 15 characters. */
    fun usage(): Map<String, Usage> {
        val threads = File("/proc/${process.pid()}/task").listFiles().orEmpty()
        return threads.groupBy({ nameOf(it) }, { usageOf(it) }).mapValues { (_, usages) -> usages.reduce(Usage::plus) }
    }

    private fun nameOf(thread: File) = File(thread, "comm").readText().trim()

    private fun usageOf(thread: File): Usage {
        val nanos = File(thread, "schedstat").readText().substringBefore(' ').toLong()
        val sleeps =
            File(thread, "status")
                .readLines()
                .first { it.startsWith(SLEEPS) }
                .removePrefix(SLEEPS)
                .trim()
                .toLong()
        return Usage(nanos / NANOS_PER_MILLI, sleeps)
    }

    override fun close() {
        process.destroyForcibly().waitFor()
    }

    companion object {
        private const val SLEEPS = "voluntary_ctxt_switches:"
        private const val NANOS_PER_MILLI = 1e6
        private val RUN = Regex("(?m)^run = \"(.*)\"$")

        /**
         * Starts the gateway [name] in [zone] before the store at [store], with the command in [deployFile]. Further [options] of the JVM
         * override those of the file.
         */
        fun start(
            deployFile: Path,
            name: String,
            zone: String,
            store: InetSocketAddress,
            options: List<String>,
        ): GatewayProcess {
            val run = checkNotNull(RUN.find(deployFile.readText())) { "$deployFile: expected a line run = \"...\", found none" }
            val words = run.groupValues[1].split(' ')
            val ports = GatewayPorts.free()
            val settings = File.createTempFile("gateway", ".json").also { it.deleteOnExit() }
            settings.writeText(settingsOf(name, zone, store, ports))
            val log = File.createTempFile("gateway", ".log")
            val (jvm, program) = words.partition { word -> words.indexOf(word) < words.indexOf("-jar") }
            val builder = ProcessBuilder(jvm + options + program).redirectErrorStream(true).redirectOutput(log)
            builder.environment()["YUCCAFERRY_NODE_FILE"] = settings.path
            return GatewayProcess(builder.start(), ports)
        }

        private fun settingsOf(
            name: String,
            zone: String,
            store: InetSocketAddress,
            ports: GatewayPorts,
        ): String {
            val settings =
                buildJsonObject {
                    put("settingsVersion", 1)
                    put("name", name)
                    put("zone", zone)
                    put("callers", textOf(ports.callers))
                    put("readiness", textOf(ports.readiness))
                    put("metrics", textOf(ports.metrics))
                    put("host", ports.peers.hostString)
                    putJsonArray("internalPorts") { add(ports.peers.port) }
                    put("store", textOf(store))
                    putJsonObject("limits") {
                        put("coldBurstFactor", 1.5)
                        put("coldTolerance", 5)
                        put("repeatRatio", 0.2)
                        put("repeatReserve", 100)
                        put("repeatWindowSeconds", 10)
                        put("graceSeconds", 8)
                    }
                }
            return Json.encodeToString(settings)
        }

        private fun textOf(address: InetSocketAddress) = "${address.hostString}:${address.port}"
    }
}
