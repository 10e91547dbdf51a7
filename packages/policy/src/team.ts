/**
 * What each team uses, what it may use, and how far it is from its share.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Lane } from './lane.js'
import type { Allowance, Claim } from './task.js'
import { NONE } from './table.js'

/** Time constant of the exponential decay of past usage, in milliseconds. */
export const USAGE_DECAY_MS = 60_000
/** Part of a team's usage that counts from the past; the rest is what runs now. */
const HISTORY_PART = 0.25
/** A team without a share is ordered as if it had this part of all shares. */
const SHARE_PART_MIN = 1e-6
const NO_ALLOWANCE: Allowance = { tasks: 0, cpuMilli: 0, memoryMb: 0, accelerators: 0 }

/** A team's accounts in one shard. */
export class Team {
  share = 0
  allotment: Allowance = NO_ALLOWANCE
  tasks = 0
  cpuMilli = 0
  memoryMb = 0
  accelerators = 0
  /** What runs at declared sizes, corrected by kind; orders teams, never bounds them. */
  expectedCpu = 0
  expectedMemory = 0
  /** Usage against the share; 1 is exactly at the share. Valid after `refresh`. */
  level = 0
  /** Waiting lanes that are worth a search among all workers. */
  readonly open: Lane[] = []
  /** Waiting lanes whose head found no room. */
  readonly room: Lane[] = []
  /** Waiting lanes that are at the team's allotment. */
  readonly limited: Lane[] = []
  /** Position in the list of active teams, kept by the owner of that list. */
  position = NONE
  /** Since when more runs than the allotment; 0 if not. */
  excessMs = 0
  private pastCpu = 0
  private pastMemory = 0
  private pastAccelerators = 0
  private pastMs = 0

  constructor (readonly name: string) {}

  /**
   * Tells whether more tasks fit into the allotment.
   *
   * @param size the sum of their sizes
   * @param tasks how many they are
   * @returns true if the allotment holds with the tasks running
   */
  admits (size: Resources, tasks: number): boolean {
    const { allotment } = this
    if (this.tasks + tasks > allotment.tasks) return false
    if (this.cpuMilli + size.cpuMilli > allotment.cpuMilli) return false
    if (this.memoryMb + size.memoryMb > allotment.memoryMb) return false
    return this.accelerators + size.accelerators <= allotment.accelerators
  }

  /**
   * Tells whether more runs than the allotment.
   *
   * @returns true if any dimension is exceeded
   */
  exceeds (): boolean {
    const { allotment } = this
    if (this.tasks > allotment.tasks || this.accelerators > allotment.accelerators) return true
    return this.cpuMilli > allotment.cpuMilli || this.memoryMb > allotment.memoryMb
  }

  /**
   * Decays past usage up to now. Call it before what runs changes.
   *
   * @param nowMs the time
   */
  advance (nowMs: number): void {
    if (nowMs <= this.pastMs) return
    const keep = Math.exp((this.pastMs - nowMs) / USAGE_DECAY_MS)
    this.pastCpu = this.expectedCpu + (this.pastCpu - this.expectedCpu) * keep
    this.pastMemory = this.expectedMemory + (this.pastMemory - this.expectedMemory) * keep
    this.pastAccelerators = this.accelerators + (this.pastAccelerators - this.accelerators) * keep
    this.pastMs = nowMs
  }

  /**
   * Works the level out: weighted dominant share of decayed and present usage.
   *
   * @param totals capacity of the shard and sum of all shares
   */
  refresh (totals: Totals): void {
    const cpu = blend(this.expectedCpu, this.pastCpu) / totals.cpuMilli
    const memory = blend(this.expectedMemory, this.pastMemory) / totals.memoryMb
    const accelerators = blend(this.accelerators, this.pastAccelerators) / totals.accelerators
    const dominant = Math.max(cpu, memory, accelerators)
    this.level = dominant * totals.shares / Math.max(this.share, totals.shares * SHARE_PART_MIN)
  }

  /**
   * Takes a new claim.
   *
   * @param claim the claim, or undefined for a team that has none any more
   */
  setClaim (claim: Claim | undefined): void {
    this.share = claim?.share ?? 0
    this.allotment = claim?.allotment ?? NO_ALLOWANCE
  }
}

/** What levels are measured against. */
export interface Totals {
  cpuMilli: number
  memoryMb: number
  accelerators: number
  shares: number
}

function blend (present: number, past: number): number {
  return present + (past - present) * HISTORY_PART
}
