/**
 * Records what workspaces use while this node owns the cell, and writes it to the journal for its successors.
 */
import { NO_RESOURCES, addResources, type Resources } from '@fireflymount/protocol/resources'
import type { Clock } from '../clock.js'
import { detach } from '../detach.js'
import type { Encoder } from '../journal/job-changes.js'
import { encodePastUse, pastUseBlockOf, pastUseKeyOf, type PastUseBlock } from '../journal/past-use-record.js'
import type { Writer } from '../journal/writer.js'
import type { Configuration } from '../model/configuration.js'
import { PastUse, type Use } from '../place/past-use.js'
import type { Log } from '../report/log.js'
import type { Metrics } from '../report/metrics.js'
import type { Ledger } from './ledger.js'
import { StopReason, type Run } from './run.js'
import type { Session } from './session.js'

const SAMPLE_INTERVAL_MS = 1000
/** The use is written at intervals of this part of the half-life, but not more often than the minimum. */
const WRITE_INTERVAL_PART = 0.01
const MIN_WRITE_INTERVAL_MS = 10_000
/** A change of a workspace's yield by this much is logged. */
const LOGGED_YIELD_CHANGE = 0.1
/** Maximum number of log lines of one sample. */
const MAX_LINES_PER_SAMPLE = 20

/** Dependencies of the recorder. */
export interface PastUseRecorderOptions {
  readonly halfLifeMs: number
  /** What earlier owners have recorded. */
  readonly recorded: Iterable<PastUseBlock>
  readonly ledger: Ledger
  readonly sessions: ReadonlyMap<string, Session>
  readonly configuration: () => Configuration
  readonly writer: Writer
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Metrics
}

/** Samples the ledger of one owner. */
export class PastUseRecorder {
  readonly pastUse: PastUse
  private sampledMs: number
  private writtenMs: number
  private writtenBlocks = new Set<number>()
  private readonly loggedYields = new Map<string, number>()

  constructor (private readonly options: PastUseRecorderOptions) {
    this.pastUse = new PastUse(options.halfLifeMs)
    const nowMs = options.clock.wall()
    for (const { atMs, uses } of options.recorded) {
      for (const [workspace, use] of uses) {
        this.pastUse.restore(workspace, use, nowMs - atMs)
        this.writtenBlocks.add(pastUseBlockOf(workspace))
      }
    }
    this.sampledMs = options.clock.now()
    this.writtenMs = this.sampledMs
    this.update()
  }

  /** Performs the work that is due. The owner calls it on every tick. */
  tick (): void {
    const nowMs = this.options.clock.now()
    const elapsedMs = nowMs - this.sampledMs
    if (elapsedMs < SAMPLE_INTERVAL_MS) return
    this.sampledMs = nowMs
    this.sample(elapsedMs)
    this.update()
    this.logChanges()
    const intervalMs = Math.max(MIN_WRITE_INTERVAL_MS, WRITE_INTERVAL_PART * this.options.halfLifeMs)
    if (nowMs - this.writtenMs < intervalMs) return
    this.writtenMs = nowMs
    this.write()
  }

  /**
   * Credits the workspace of a run whose work was discarded with what the run held. Saved work is not credited, nor is that of a long-running
   * task, which has served its users, or of a run that was stopped for another reason than preemption.
   */
  credit ({ entry, step, assignedMs, checkpoint, stopping }: Run): void {
    if (checkpoint !== '' || step.lasting || (stopping !== undefined && stopping !== StopReason.Preempted)) return
    const heldMs = this.pastUse.remainingOf(this.options.clock.now() - assignedMs)
    this.pastUse.charge(entry.job.workspace, step.size, this.totalCapacity(), -heldMs)
  }

  private sample (elapsedMs: number): void {
    const total = this.totalCapacity()
    this.pastUse.decay(elapsedMs)
    for (const [workspace, used] of this.options.ledger.usages()) this.pastUse.charge(workspace, used, total, elapsedMs)
  }

  private update (): void {
    const { workspaces } = this.options.configuration()
    const weights = new Map(workspaces.map(({ name, weight }) => [name, weight]))
    this.pastUse.update({ weightOf: (workspace) => weights.get(workspace), all: [...weights.values()] })
  }

  private logChanges (): void {
    let yielding = 0
    let lines = 0
    for (const [workspace] of this.pastUse.entries()) {
      const yieldPart = this.pastUse.yieldOf(workspace)
      if (yieldPart > 0) yielding++
      const change = Math.abs(yieldPart - (this.loggedYields.get(workspace) ?? 0))
      if (change < LOGGED_YIELD_CHANGE || lines >= MAX_LINES_PER_SAMPLE) continue
      lines++
      this.loggedYields.set(workspace, yieldPart)
      this.options.log.decision('past use changes the order', {
        workspace, share: round(this.pastUse.shareOf(workspace)), yield: round(yieldPart)
      })
    }
    this.options.metrics.yieldingWorkspaces.set(yielding)
  }

  private write (): void {
    const atMs = this.options.clock.wall()
    const blocks = new Map<number, Map<string, Use>>()
    for (const block of this.writtenBlocks) blocks.set(block, new Map())
    for (const [workspace, use] of this.pastUse.entries()) {
      const block = pastUseBlockOf(workspace)
      const uses = blocks.get(block) ?? new Map<string, Use>()
      blocks.set(block, uses.set(workspace, use))
    }
    const changes = new Map<string, Encoder>()
    for (const [block, uses] of blocks) changes.set(pastUseKeyOf(block), () => encodePastUse(block, { atMs, uses }))
    this.writtenBlocks = new Set([...blocks].filter(([, uses]) => uses.size > 0).map(([block]) => block))
    if (changes.size > 0) detach(this.options.writer.commit(changes))
  }

  /** Capacity of all workers, also of those that are not reachable now: what runs there is held. */
  private totalCapacity (): Resources {
    let total = NO_RESOURCES
    for (const { worker } of this.options.sessions.values()) total = addResources(total, worker.capacity)
    return total
  }
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
