// The program yuccaferryd, which runs one daemon on one entry instance.
package yuccaferry.app

import com.github.michaelbull.result.fold
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import yuccaferry.model.json.readStrictJson
import java.io.File
import java.io.IOException
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.system.exitProcess

private const val EXIT_BAD_SETTINGS = 3

/** The property that controls Ktor's shutdown hook, which stops servers at SIGTERM before requests in progress have ended. */
private const val KTOR_SHUTDOWN_HOOK = "io.ktor.server.engine.ShutdownHook"

fun main(args: Array<String>) {
    val parser = ArgParser("yuccaferryd")
    val file by parser.option(ArgType.String, "settings", description = "Settings file (JSON)").required()
    val checkOnly by parser.option(ArgType.Boolean, "check-settings", description = "Check the settings file and stop").default(false)
    parser.parse(args)
    val settings = readSettings(file) ?: exitProcess(EXIT_BAD_SETTINGS)
    if (checkOnly) {
        println("$file: settings are valid")
        return
    }
    run(settings)
}

private fun run(settings: DaemonSettings) {
    System.setProperty(KTOR_SHUTDOWN_HOOK, "false")
    val daemon = Daemon(settings, onDrain = { thread(name = "drain") { exitProcess(0) } })
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { daemon.leave() }
            stopped.countDown()
        },
    )
    runBlocking { daemon.start() }
    stopped.await()
}

private fun readSettings(path: String): DaemonSettings? {
    val text =
        try {
            File(path).readText()
        } catch (e: IOException) {
            System.err.println("$path: can't be read: ${e.message}")
            return null
        }
    val problems =
        readStrictJson<DaemonSettings>(text).fold(
            success = { settings -> validate(settings).ifEmpty { return settings } },
            failure = { it },
        )
    problems.forEach { System.err.println("$path: $it") }
    return null
}
