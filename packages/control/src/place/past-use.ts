/**
 * What workspaces have used over hours, and by how much their waiting steps yield to those of others. It answers a load in which each
 * workspace stays within its rate in every second, while some of them use far more of the cell than others over a day.
 */
import type { Resources } from '@fireflymount/protocol/resources'

/**
 * Use of the cell: shares of its capacity in processors, memory and accelerators, each multiplied by the milliseconds for which they
 * were held.
 */
export type Use = readonly [cpu: number, memory: number, accelerators: number]

/** What the configuration says of the workspaces that compete. */
export interface Weights {
  /** Weight of a workspace; 0 or undefined if it has none. */
  weightOf (workspace: string): number | undefined
  /** Weights of all workspaces of the configuration. */
  readonly all: readonly number[]
}

const NO_USE: Use = [0, 0, 0]
/** Largest part of a job's slack by which its steps yield. */
export const MAX_YIELD = 0.5
/** Multiple of the fair use from which a workspace yields the most. */
const FULL_RATIO = 8
/** Recorded use, as a part of what a cell without free capacity accumulates, from which past use has its full effect. */
const CONFIDENT_PART = 0.1
/** Use below this, in milliseconds of the whole cell, is forgotten. */
const MIN_USE_MS = 0.01

/** Decayed use of all workspaces. */
export class PastUse {
  private readonly uses = new Map<string, Use>()
  private yields = new Map<string, number>()

  /** @param halfLifeMs time in which a use loses half of its weight, above 0 */
  constructor (private readonly halfLifeMs: number) {}

  /** Workspaces with recorded use. */
  entries (): Iterable<readonly [string, Use]> {
    return this.uses.entries()
  }

  /** Returns the recorded use of a workspace, in milliseconds of the whole cell, in the dimension that it has used most. */
  useOf (workspace: string): number {
    return Math.max(...this.uses.get(workspace) ?? NO_USE)
  }

  /** Returns the part of all recorded use that is of a workspace. */
  shareOf (workspace: string): number {
    const totalMs = this.totalMs()
    return totalMs === 0 ? 0 : this.useOf(workspace) / totalMs
  }

  /** Adds use that was recorded earlier. */
  restore (workspace: string, use: Use, ageMs: number): void {
    const factor = this.decayOver(Math.max(0, ageMs))
    this.add(workspace, [use[0] * factor, use[1] * factor, use[2] * factor])
  }

  /** Decays all use by a time that has passed. */
  decay (elapsedMs: number): void {
    const factor = this.decayOver(elapsedMs)
    for (const [workspace, [cpu, memory, accelerators]] of this.uses) {
      const use: Use = [cpu * factor, memory * factor, accelerators * factor]
      if (Math.max(...use) < MIN_USE_MS) this.uses.delete(workspace)
      else this.uses.set(workspace, use)
    }
  }

  /**
   * Charges a workspace for resources that it held, or credits it for them.
   *
   * @param total capacity of the cell
   * @param heldMs how long they were held; negative to credit the workspace
   */
  charge (workspace: string, held: Resources, total: Resources, heldMs: number): void {
    this.add(workspace, [
      heldMs * partOf(held.cpuMilli, total.cpuMilli),
      heldMs * partOf(held.memoryMb, total.memoryMb),
      heldMs * partOf(held.accelerators, total.accelerators)
    ])
  }

  /** Returns what is left of the time for which something was held until now, after its decay. */
  remainingOf (heldMs: number): number {
    return (1 - this.decayOver(heldMs)) * this.halfLifeMs / Math.LN2
  }

  /** Computes by how much each workspace yields. Call it after changes of the use or of the weights. */
  update (weights: Weights): void {
    this.yields = new Map()
    const totalMs = this.totalMs()
    if (totalMs === 0) return
    const positive = weights.all.filter((weight) => weight > 0)
    const meanWeight = positive.length === 0 ? 1 : sumOf(positive) / positive.length
    const effective = (weight: number | undefined): number => weight === undefined || weight <= 0 ? meanWeight : weight
    const totalWeight = Math.max(sumOf(weights.all.map(effective)), meanWeight)
    const confidence = Math.min(1, totalMs * Math.LN2 / (CONFIDENT_PART * this.halfLifeMs))
    for (const workspace of this.uses.keys()) {
      const fairShare = Math.min(1, effective(weights.weightOf(workspace)) / totalWeight)
      const ratio = this.useOf(workspace) / totalMs / fairShare
      if (ratio <= 1) continue
      this.yields.set(workspace, MAX_YIELD * confidence * Math.min(1, Math.log2(ratio) / Math.log2(FULL_RATIO)))
    }
  }

  /**
   * Returns the part of its slack by which each waiting workspace yields: 0 for the one that has used least in relation to its weight.
   *
   * @param waiting workspaces with waiting steps
   */
  yieldsAmong (waiting: ReadonlySet<string>): ReadonlyMap<string, number> {
    let leastYield = MAX_YIELD
    for (const workspace of waiting) leastYield = Math.min(leastYield, this.yieldOf(workspace))
    const relative = new Map<string, number>()
    for (const workspace of waiting) {
      const excess = this.yieldOf(workspace) - leastYield
      if (excess > 0) relative.set(workspace, excess)
    }
    return relative
  }

  /** Returns the part of its slack by which a workspace yields to one at its fair use; from 0 to `MAX_YIELD`. */
  yieldOf (workspace: string): number {
    return this.yields.get(workspace) ?? 0
  }

  private totalMs (): number {
    let totalMs = 0
    for (const workspace of this.uses.keys()) totalMs += this.useOf(workspace)
    return totalMs
  }

  private add (workspace: string, added: Use): void {
    const [cpu, memory, accelerators] = this.uses.get(workspace) ?? NO_USE
    const use: Use = [Math.max(0, cpu + added[0]), Math.max(0, memory + added[1]), Math.max(0, accelerators + added[2])]
    if (Math.max(...use) === 0) this.uses.delete(workspace)
    else this.uses.set(workspace, use)
  }

  private decayOver (elapsedMs: number): number {
    return 0.5 ** (elapsedMs / this.halfLifeMs)
  }
}

function partOf (amount: number, total: number): number {
  return total > 0 ? amount / total : 0
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
