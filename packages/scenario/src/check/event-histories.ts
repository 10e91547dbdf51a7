/**
 * Reads the workers' event histories and derives the runs from them.
 */
import { compareEpochs, NO_EPOCH, type Epoch } from '@fireflymount/protocol/epoch'
import { NO_RESOURCES } from '@fireflymount/protocol/resources'
import { Event, type EventEntry, type EventPage } from '@fireflymount/standin/event-history'
import type { Run } from './evidence.js'

const END_EVENTS: ReadonlySet<Event> = new Set([Event.End, Event.Expire, Event.Stop, Event.Lost, Event.RequestEnd])

/** Fetches a page of one worker's event history; undefined if the worker does not answer. */
export type FetchPage = (worker: string, from: number) => Promise<EventPage | undefined>

/** The event histories of all workers, as far as they were read. */
export class WorkerEventHistories {
  private readonly entries = new Map<string, EventEntry[]>()
  /** True if a worker has dropped entries of its event history. The invariants cannot be checked then. */
  incomplete = false

  constructor (private readonly fetch: FetchPage) {}

  /** Reads the entries that the workers have recorded since the previous call. */
  async refresh (workers: Iterable<string>): Promise<void> {
    await Promise.all([...workers].map((worker) => this.refreshWorker(worker)))
  }

  /** Runs of all workers, in order of their starts. */
  runs (): Run[] {
    const runs: Run[] = []
    for (const entries of this.entries.values()) runs.push(...parseRuns(entries))
    return runs.sort((left, right) => left.startedMs - right.startedMs)
  }

  /** The newest epoch under which any of the given workers was adopted. */
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
 * Derives the runs of one worker by pairing the starts and ends in its event history.
 *
 * @param entries the event history, in order
 * @returns its runs; those in progress have no `endedMs`
 *
 * @example
 * const runs = parseRuns(page.entries)
 */
export function parseRuns (entries: readonly EventEntry[]): Run[] {
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
    if (index === undefined || !END_EVENTS.has(entry.event)) continue
    open.delete(name)
    runs[index] = { ...runs[index]!, endedMs: entry.monotonicMs, ending: entry.event }
  }
  return runs
}

function createRun (entry: EventEntry): Run {
  return {
    worker: entry.worker,
    task: entry.task ?? '',
    attempt: entry.attempt ?? 0,
    isRequest: entry.event === Event.RequestStart,
    team: entry.team ?? '',
    kind: entry.kind ?? '',
    size: entry.size ?? NO_RESOURCES,
    nonce: typeof entry.echo === 'string' ? entry.echo : undefined,
    startedMs: entry.monotonicMs
  }
}
