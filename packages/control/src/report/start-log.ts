/**
 * Writes one line for the starts of a step's runs in several consecutive rounds. Under a backlog, each round starts only one or
 * two tasks of a step.
 */
import type { Clock } from '../clock.js'
import type { Log } from './log.js'

/** Starts are collected for this time before they are written. */
const COLLECT_MS = 250

/** The start of one run. */
export interface RunStart {
  /** Name of the step. */
  readonly step: string
  /** Index of the task in the step. */
  readonly task: number
  readonly run: number
  readonly worker: string
  /** Time from the acceptance of the job to the start. */
  readonly waitedMs: number
  /** Time from the assignment until it was in the journal. */
  readonly journalMs: number
  /** Age of the worker's last report at the assignment. */
  readonly reportAgeMs: number
}

interface CollectedStarts {
  readonly sinceMs: number
  readonly step: string
  readonly run: number
  /** Indices of the tasks, by worker. */
  readonly workers: Record<string, number[]>
  readonly waitedMs: number
  /** Time from the first to the last start. */
  spanMs: number
  journalMs: number
  reportAgeMs: number
}

/** Collects starts. */
export class StartLog {
  /** In the order of their first starts. */
  private readonly collected = new Map<string, CollectedStarts>()

  constructor (private readonly log: Log, private readonly clock: Clock) {}

  /** Adds a start to the line of its step and run number. */
  record ({ step, task, run, worker, waitedMs, journalMs, reportAgeMs }: RunStart): void {
    const nowMs = this.clock.now()
    const key = `${step} ${run}`
    let starts = this.collected.get(key)
    if (starts === undefined) {
      starts = { sinceMs: nowMs, step, run, workers: {}, waitedMs, spanMs: 0, journalMs, reportAgeMs }
      this.collected.set(key, starts)
    }
    const tasks = starts.workers[worker]
    if (tasks === undefined) starts.workers[worker] = [task]
    else tasks.push(task)
    starts.spanMs = nowMs - starts.sinceMs
    starts.journalMs = Math.max(starts.journalMs, journalMs)
    starts.reportAgeMs = Math.max(starts.reportAgeMs, reportAgeMs)
  }

  /** Writes the lines whose first start is long enough ago. The owner calls it on every tick. */
  writeDue (): void {
    this.writeUntil(this.clock.now() - COLLECT_MS)
  }

  /** Writes all lines; call it when no more starts follow. */
  close (): void {
    this.writeUntil(Infinity)
  }

  private writeUntil (latestMs: number): void {
    for (const [key, { sinceMs, step, run, workers, waitedMs, spanMs, journalMs, reportAgeMs }] of this.collected) {
      if (sinceMs > latestMs) return
      this.collected.delete(key)
      this.log.decision('start runs', {
        step,
        run,
        workers,
        waitedMs,
        spanMs: Math.round(spanMs),
        journalMs: Math.round(journalMs),
        reportAgeMs: Math.round(reportAgeMs)
      })
    }
  }
}
