// Logs what the process has used since its start, at a fixed interval.
package yuccaferry.gateway.app

import com.sun.management.OperatingSystemMXBean
import kotlinx.coroutines.delay
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import java.lang.management.ManagementFactory

/** Time between two status lines, in milliseconds: a few lines around each incident. */
private const val INTERVAL_MILLIS = 10_000L
private const val NANOS_PER_MILLI = 1_000_000L
private const val BYTES_PER_MB = 1_048_576L

/** Logs the processor time, the heap in use and the current [statistics] until the coroutine is cancelled. */
internal suspend fun logStatus(
    telemetry: Telemetry,
    statistics: () -> List<Field>,
) {
    val system = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
    val memory = ManagementFactory.getMemoryMXBean()
    while (true) {
        delay(INTERVAL_MILLIS)
        telemetry.event(
            "status",
            Field("cpu_ms", system.processCpuTime / NANOS_PER_MILLI),
            Field("heap_mb", memory.heapMemoryUsage.used / BYTES_PER_MB),
            *statistics().toTypedArray(),
        )
    }
}
