/**
 * Usage, allotment and fair share of each team.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Lane } from './lane.js'
import type { TaskTotals, TeamQuota } from './task.js'
import { NONE } from './table.js'

/** Time constant of the exponential decay of past usage. */
export const USAGE_DECAY_MS = 60_000
/** Weight of past usage in a team's usage; the rest is the weight of current usage. */
const HISTORY_WEIGHT = 0.25
/** A team with a smaller share, or none, is ordered as if it had this fraction of all shares. */
const MIN_SHARE_FRACTION = 1e-6
const NO_TASKS: TaskTotals = { tasks: 0, cpuMilli: 0, memoryMb: 0, accelerators: 0 }

/** The usage, limits and lanes of a team in one shard. */
export class Team {
  share = 0
  allotment: TaskTotals = NO_TASKS
  /** Number of running tasks, and the sum of their declared sizes. */
  tasks = 0
  cpuMilli = 0
  memoryMb = 0
  accelerators = 0
  /**
   * Expected usage of running tasks, in thousandths of a core and MB: declared sizes times the usage ratio learned for the kind.
   * A ratio below 1 counts as 1. Used to order teams, never to limit them.
   */
  expectedCpu = 0
  expectedMemory = 0
  /** Ratio of the team's usage to its share; 1 is exactly at the share. Valid after `updateShareRatio`. */
  shareRatio = 0
  /** Lanes that nothing blocks. */
  readonly unblockedLanes: Lane[] = []
  /** Lanes blocked because there is not enough free capacity. */
  readonly capacityBlocked: Lane[] = []
  /** Lanes blocked by the team's allotment. */
  readonly allotmentBlocked: Lane[] = []
  /** Index in the list of active teams, or NONE. Set by Lanes. */
  activeIndex = NONE
  /** Start of the current grace period of a team that exceeds its allotment; meaningless otherwise. */
  excessSinceMs = 0
  private decayedCpu = 0
  private decayedMemory = 0
  private decayedAccelerators = 0
  private decayedAtMs = 0

  constructor (readonly name: string) {}

  /**
   * Returns whether more tasks fit into the allotment.
   *
   * @param size the sum of the tasks' sizes
   * @param tasks number of tasks
   * @returns true if the team stays within its allotment when the tasks run
   */
  admits (size: Resources, tasks: number): boolean {
    const { allotment } = this
    if (this.tasks + tasks > allotment.tasks) return false
    if (this.cpuMilli + size.cpuMilli > allotment.cpuMilli) return false
    if (this.memoryMb + size.memoryMb > allotment.memoryMb) return false
    return this.accelerators + size.accelerators <= allotment.accelerators
  }

  /**
   * Returns whether the running tasks exceed the allotment.
   *
   * @returns true if any resource is exceeded
   */
  exceedsAllotment (): boolean {
    const { allotment } = this
    if (this.tasks > allotment.tasks || this.accelerators > allotment.accelerators) return true
    return this.cpuMilli > allotment.cpuMilli || this.memoryMb > allotment.memoryMb
  }

  /**
   * Decays past usage towards current usage. Call it before the running tasks change.
   *
   * @param nowMs the current time
   */
  decayUsage (nowMs: number): void {
    if (nowMs <= this.decayedAtMs) return
    const retained = this.retainedUntil(nowMs)
    this.decayedCpu = blend(this.expectedCpu, this.decayedCpu, retained)
    this.decayedMemory = blend(this.expectedMemory, this.decayedMemory, retained)
    this.decayedAccelerators = blend(this.accelerators, this.decayedAccelerators, retained)
    this.decayedAtMs = nowMs
  }

  /**
   * Updates the share ratio: the weighted dominant share, computed from a blend of current and past usage.
   *
   * @param totals capacity of the shard and sum of all shares
   */
  updateShareRatio (totals: ShardTotals): void {
    this.shareRatio = this.shareRatioAfter(1, totals)
  }

  /**
   * Computes the share ratio at a time, without updating it.
   *
   * @param totals capacity of the shard and sum of all shares
   * @param nowMs the time
   * @returns the share ratio
   */
  shareRatioAt (totals: ShardTotals, nowMs: number): number {
    return this.shareRatioAfter(this.retainedUntil(nowMs), totals)
  }

  /** Computes the share ratio from the fraction of past usage that is retained. */
  private shareRatioAfter (retained: number, totals: ShardTotals): number {
    const weight = HISTORY_WEIGHT * retained
    const cpu = blend(this.expectedCpu, this.decayedCpu, weight) / totals.cpuMilli
    const memory = blend(this.expectedMemory, this.decayedMemory, weight) / totals.memoryMb
    const accelerators = blend(this.accelerators, this.decayedAccelerators, weight) / totals.accelerators
    const dominant = Math.max(cpu, memory, accelerators)
    return dominant * totals.shares / Math.max(this.share, totals.shares * MIN_SHARE_FRACTION)
  }

  private retainedUntil (nowMs: number): number {
    return nowMs <= this.decayedAtMs ? 1 : Math.exp((this.decayedAtMs - nowMs) / USAGE_DECAY_MS)
  }

  /**
   * Sets the share and allotment.
   *
   * @param quota the quota, or undefined for a team that no longer has one
   */
  setQuota (quota: TeamQuota | undefined): void {
    this.share = quota?.share ?? 0
    this.allotment = quota?.allotment ?? NO_TASKS
  }
}

/** Capacity of the shard and sum of all shares, against which share ratios are computed. */
export interface ShardTotals {
  cpuMilli: number
  memoryMb: number
  accelerators: number
  shares: number
}

function blend (current: number, past: number, weight: number): number {
  return current + (past - current) * weight
}
