/**
 * Room kept back from batch work and gangs so that requests start without waiting for either to end.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Occupancy } from './occupancy.js'
import type { Task } from './task.js'
import type { Weights } from './policy.js'

/** Time constant after which a past peak of requests is forgotten, in milliseconds. */
export const PEAK_DECAY_MS = 60_000
/** Most of the shard that is kept back, as a part. */
const KEPT_PART_MAX = 0.2

/** Recent peak of what requests had running at once. */
export class Headroom {
  private cpu = 0
  private memory = 0
  private slots = 0
  private peakCpu = 0
  private peakMemory = 0
  private peakSlots = 0
  private peakMs = 0
  private readonly strictness: number

  constructor (private readonly occupancy: Occupancy, weights: Weights) {
    this.strictness = 1 - weights.packing
  }

  /**
   * Counts a request in or out.
   *
   * @param task the request
   * @param sign 1 when it starts, -1 when it ends
   * @param nowMs the time
   */
  count (task: Task, sign: number, nowMs: number): void {
    this.cpu += task.size.cpuMilli * sign
    this.memory += task.size.memoryMb * sign
    this.slots += sign
    if (sign < 0) return
    this.decay(nowMs)
    this.peakCpu = Math.max(this.peakCpu, this.cpu)
    this.peakMemory = Math.max(this.peakMemory, this.memory)
    this.peakSlots = Math.max(this.peakSlots, this.slots)
  }

  /**
   * Tells whether tasks may start without taking the room kept back.
   *
   * @param size the sum of their sizes
   * @param count how many they are
   * @param nowMs the time
   * @returns true if they may
   */
  allows (size: Resources, count: number, nowMs: number): boolean {
    if (this.peakSlots < 1) return true
    this.decay(nowMs)
    const { fleet } = this.occupancy
    const cpu = kept(this.peakCpu - this.cpu, fleet.totalCpu, size.cpuMilli) * this.strictness
    const memory = kept(this.peakMemory - this.memory, fleet.totalMemory, size.memoryMb) * this.strictness
    const slots = Math.round(kept(this.peakSlots - this.slots, fleet.totalSlots, count) * this.strictness)
    if (fleet.readySlots - count < slots) return false
    return fleet.readyCpu - size.cpuMilli >= cpu && fleet.readyMemory - size.memoryMb >= memory
  }

  private decay (nowMs: number): void {
    if (nowMs <= this.peakMs) return
    const keep = Math.exp((this.peakMs - nowMs) / PEAK_DECAY_MS)
    this.peakCpu = this.cpu + (this.peakCpu - this.cpu) * keep
    this.peakMemory = this.memory + (this.peakMemory - this.memory) * keep
    this.peakSlots = this.slots + (this.peakSlots - this.slots) * keep
    this.peakMs = nowMs
  }
}

/** Nothing is kept from a demand so large that it could never start beside the rest. */
function kept (missing: number, total: number, demand: number): number {
  const most = total * KEPT_PART_MAX
  if (demand > total - most) return 0
  return Math.max(0, Math.min(missing, most))
}
