/**
 * Capacity that batch work and gangs may not use, so that requests start without waiting for them to end.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { ShardState } from './shard-state.js'
import type { Task } from './task.js'
import type { Weights } from './policy.js'

/** Time constant of the exponential decay of a past peak of requests. */
export const PEAK_DECAY_MS = 60_000
/** Largest fraction of the shard's capacity that is kept as headroom. */
const MAX_HEADROOM_FRACTION = 0.2

/** Tracks the recent peak of resources used by concurrent requests; the unused rest of that peak is the headroom. */
export class Headroom {
  private runningCpu = 0
  private runningMemory = 0
  private runningSlots = 0
  private peakCpu = 0
  private peakMemory = 0
  private peakSlots = 0
  private decayedAtMs = 0
  /** Factor on the headroom: 1 minus the normalized packing weight. */
  private readonly headroomFactor: number

  constructor (private readonly state: ShardState, weights: Weights) {
    this.headroomFactor = 1 - weights.packing
  }

  /**
   * Counts a request that starts or ends.
   *
   * @param task the request
   * @param sign 1 when it starts, -1 when it ends
   * @param nowMs the current time
   */
  countRequest (task: Task, sign: number, nowMs: number): void {
    this.runningCpu += task.size.cpuMilli * sign
    this.runningMemory += task.size.memoryMb * sign
    this.runningSlots += sign
    if (sign < 0) return
    this.decay(nowMs)
    this.peakCpu = Math.max(this.peakCpu, this.runningCpu)
    this.peakMemory = Math.max(this.peakMemory, this.runningMemory)
    this.peakSlots = Math.max(this.peakSlots, this.runningSlots)
  }

  /**
   * Returns whether tasks may start without using the headroom.
   *
   * @param size the sum of the tasks' sizes
   * @param count number of tasks
   * @param nowMs the current time
   * @returns true if the headroom stays free
   */
  allows (size: Resources, count: number, nowMs: number): boolean {
    if (this.peakSlots < 1) return true
    this.decay(nowMs)
    return this.staysFree(size, count, 1)
  }

  /**
   * The same as `allows`, without a change to the recorded peak.
   *
   * @param size the sum of the tasks' sizes
   * @param count number of tasks
   * @param nowMs the current time
   * @returns true if the headroom stays free
   */
  wouldAllow (size: Resources, count: number, nowMs: number): boolean {
    return this.peakSlots < 1 || this.staysFree(size, count, this.retainedUntil(nowMs))
  }

  /** Returns whether the headroom stays free if a fraction of the unused part of the recorded peak is retained. */
  private staysFree (size: Resources, count: number, retained: number): boolean {
    const { fleet } = this.state
    const unusedCpu = (this.peakCpu - this.runningCpu) * retained
    const unusedMemory = (this.peakMemory - this.runningMemory) * retained
    const unusedSlots = (this.peakSlots - this.runningSlots) * retained
    const cpu = headroomFor(unusedCpu, fleet.totalCpu, size.cpuMilli) * this.headroomFactor
    const memory = headroomFor(unusedMemory, fleet.totalMemory, size.memoryMb) * this.headroomFactor
    const slots = Math.round(headroomFor(unusedSlots, fleet.totalSlots, count) * this.headroomFactor)
    if (fleet.readyFreeSlots - count < slots) return false
    return fleet.readyFreeCpu - size.cpuMilli >= cpu && fleet.readyFreeMemory - size.memoryMb >= memory
  }

  private decay (nowMs: number): void {
    if (nowMs <= this.decayedAtMs) return
    const retained = this.retainedUntil(nowMs)
    this.peakCpu = this.runningCpu + (this.peakCpu - this.runningCpu) * retained
    this.peakMemory = this.runningMemory + (this.peakMemory - this.runningMemory) * retained
    this.peakSlots = this.runningSlots + (this.peakSlots - this.runningSlots) * retained
    this.decayedAtMs = nowMs
  }

  private retainedUntil (nowMs: number): number {
    return nowMs <= this.decayedAtMs ? 1 : Math.exp((this.decayedAtMs - nowMs) / PEAK_DECAY_MS)
  }
}

/** Returns the headroom of one resource. There is none for a demand so large that it could otherwise never start. */
function headroomFor (unused: number, total: number, demand: number): number {
  const limit = total * MAX_HEADROOM_FRACTION
  if (demand > total - limit) return 0
  return Math.max(0, Math.min(unused, limit))
}
