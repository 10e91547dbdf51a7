/**
 * How long a queue's backlog takes, and whether a job accepted now can still be of use. Answers the pattern of an overload that
 * lasts: a caller who is told at once when to come back loses less than one whose job ends too late.
 */
import type { QueuePressure } from '../entry/gate.js'

/** Part of an upstream's room that waiting work gets in practice: gangs and large tasks leave gaps. */
const USABLE_PART = 0.8
/** A job that ends later than this many objectives after its acceptance is of no use. */
const USELESS_FACTOR = 3

/** Work of one queue on one upstream, in processor time of thousandths of cores. */
export interface QueueLoad {
  readonly queue: string
  readonly priority: number
  /** What is left of its accepted jobs. */
  readonly workMs: number
  /** Typical objective of its jobs. */
  readonly objectiveMs: number
  /** Typical longest chain of its jobs. */
  readonly chainMs: number
}

/**
 * Finds the queues that must refuse.
 *
 * @param loads all queues of one upstream
 * @param roomMilli processors of the upstream, in thousandths of cores
 * @returns queues whose next job would end too late to be of use
 */
export function findPressures (loads: readonly QueueLoad[], roomMilli: number): QueuePressure[] {
  const pressures: QueuePressure[] = []
  if (roomMilli <= 0) return pressures
  for (const load of loads) {
    let aheadMs = 0
    for (const other of loads) {
      if (other.priority <= load.priority) aheadMs += other.workMs
    }
    const backlogMs = aheadMs / (USABLE_PART * roomMilli)
    const usefulMs = USELESS_FACTOR * load.objectiveMs - load.chainMs
    if (load.objectiveMs === 0 || backlogMs <= usefulMs) continue
    pressures.push({ queue: load.queue, backlogMs, drainMs: backlogMs - (load.objectiveMs - load.chainMs) })
  }
  return pressures
}
