// Chooses the targets that may get new work while some have as many requests as they are allowed.
package yuccaferry.decisions.limits

/**
 * Returns those of [targets] that are within their limit. Where the limits hold back half of the targets or more, the others get no more
 * than they process at once, which [hasFreeSlot] says, since they would otherwise get the work of all. If none is left, all are returned.
 */
fun <T> withinPace(
    targets: List<T>,
    isWithin: (T) -> Boolean,
    hasFreeSlot: (T) -> Boolean,
): List<T> {
    val within = targets.filter(isWithin)
    if (within.size == targets.size) return targets
    val free = if (within.size * 2 > targets.size) within else within.filter(hasFreeSlot)
    return free.ifEmpty { targets }
}
