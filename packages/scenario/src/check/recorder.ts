/**
 * Reads the workers' own records and turns them into runs.
 */
import { compareEpochs, NO_EPOCH, type Epoch } from '@fireflymount/protocol/epoch'
import { NO_RESOURCES } from '@fireflymount/protocol/resources'
import { Event, type RecordEntry, type RecordPage } from '@fireflymount/standin/record'
import type { Run } from './evidence.js'

const ENDS: ReadonlySet<Event> = new Set([Event.End, Event.Lapse, Event.Stop, Event.Lost, Event.RequestEnd])

/** Fetches a page of one worker's record. */
export type FetchPage = (worker: string, from: number) => Promise<RecordPage | undefined>

/** The records read so far. */
export class Recorder {
  private readonly entries = new Map<string, RecordEntry[]>()
  /** True if a worker did not keep everything: then nothing is proved. */
  incomplete = false

  constructor (private readonly fetch: FetchPage) {}

  /** Reads what the workers recorded since the last time. */
  async refresh (workers: Iterable<string>): Promise<void> {
    await Promise.all([...workers].map((worker) => this.refreshWorker(worker)))
  }

  /** Runs of all workers, by start. */
  runs (): Run[] {
    const runs: Run[] = []
    for (const entries of this.entries.values()) runs.push(...parseRuns(entries))
    return runs.sort((left, right) => left.startedMs - right.startedMs)
  }

  /** The newest epoch that workers hold, of the workers given. */
  epoch (workers: Iterable<string>): Epoch {
    let newest = NO_EPOCH
    for (const worker of workers) {
      const adoption = this.entries.get(worker)?.findLast((entry) => entry.event === Event.Adopt)
      if (adoption?.epoch !== undefined && compareEpochs(adoption.epoch, newest) > 0) newest = adoption.epoch
    }
    return newest
  }

  private async refreshWorker (worker: string): Promise<void> {
    const entries = this.entries.get(worker) ?? []
    this.entries.set(worker, entries)
    for (;;) {
      const page = await this.fetch(worker, entries.length)
      if (page === undefined) return
      if (page.dropped > 0) this.incomplete = true
      if (page.entries.length === 0) return
      const known = entries.length
      for (const entry of page.entries) {
        if (entry.seq >= known) entries.push(entry)
      }
    }
  }
}

/**
 * Pairs the starts and ends of one worker's record.
 *
 * @param entries the record, in order
 * @returns its runs; those that have not ended have no end
 *
 * @example
 * const runs = parseRuns(page.entries)
 */
export function parseRuns (entries: readonly RecordEntry[]): Run[] {
  const runs: Run[] = []
  const open = new Map<string, number>()
  for (const entry of entries) {
    const name = `${entry.boot} ${entry.task ?? ''} ${entry.attempt ?? 0}`
    if (entry.event === Event.Start || entry.event === Event.RequestStart) {
      open.set(name, runs.length)
      runs.push(createRun(entry))
      continue
    }
    const index = open.get(name)
    if (index === undefined || !ENDS.has(entry.event)) continue
    open.delete(name)
    runs[index] = { ...runs[index]!, endedMs: entry.monotonicMs }
  }
  return runs
}

function createRun (entry: RecordEntry): Run {
  return {
    worker: entry.worker,
    task: entry.task ?? '',
    attempt: entry.attempt ?? 0,
    request: entry.event === Event.RequestStart,
    team: entry.team ?? '',
    kind: entry.kind ?? '',
    size: entry.size ?? NO_RESOURCES,
    nonce: typeof entry.echo === 'string' ? entry.echo : undefined,
    startedMs: entry.monotonicMs
  }
}
