/**
 * The part "standby": control bytes against time to recover, by how closely a standby follows the shard's stream.
 */
import { loadavg } from 'node:os'
import { setTimeout as sleep } from 'node:timers/promises'
import type { RemoteLog } from '@fireflymount/platform/log-client'
import type { Stream } from '@fireflymount/platform/stream'
import { Random } from './random.js'
import { createAccepted, createAttempt, createEnded, FILL_MS, fillStream, openStream, type Seat } from './recovery.js'
import { Part, type Report } from './report.js'
import { startService, type Service } from './service.js'

const LIVE_TASKS = [100, 1_000, 10_000]
const TASKS_PER_S = 20
const WINDOW_MS = 15_000
const HOLD_MS = 1_000
/** Time between two reads of a standby that lags on purpose. */
const LAG_MS = 5_000
const PATIENCE_MS = 10_000
const MS_PER_S = 1000

/** How a standby keeps its position. */
export enum Position {
  /** Follows the stream, with reads held open. */
  Close = 'close',
  /** Reads the stream at intervals. */
  Lagging = 'lagging',
  /** Reads nothing before it takes over. */
  Cold = 'cold'
}

/** One position at one size. */
export interface Trade {
  readonly position: Position
  readonly liveTasks: number
  /** Bytes that the standby exchanges with the log, at 20 task starts a second. */
  readonly bytesPerS: number
  /** Time until the standby has read to the end of the stream, when the owner dies at the worst moment. */
  readonly recoverMs: number
  readonly recoverKilobytes: number
  readonly load: number
}

/** Positions of a standby. */
export class Standby extends Part {
  readonly name = 'standby'
  readonly title = 'Position of a standby'

  async measure (seed: number): Promise<Report> {
    const service = await startService()
    const trades: Trade[] = []
    try {
      for (const liveTasks of LIVE_TASKS) trades.push(...await measurePositions(service, liveTasks, new Random(seed)))
    } finally {
      await service.close()
    }
    return createReport(trades)
  }
}

async function measurePositions (service: Service, liveTasks: number, random: Random): Promise<Trade[]> {
  const stream = `standby-${liveTasks}`
  const writer = openStream(service, stream, FILL_MS)
  await writer.journal.claim({ counter: 1, node: 'entry-1' }, ['entry-2', 'entry-3'])
  await fillStream(writer.journal, liveTasks, random)
  const asOf = writer.journal.position()
  const written = await writer.journal.compact()
  if (written.isErr() || !written.value) throw new Error('The snapshot was not written.')
  await service.expire(stream, asOf)
  const close = await openReader(service, stream)
  const lagging = await openReader(service, stream)
  const stop = new AbortController()
  const before = [bytesOf(close.log), bytesOf(lagging.log)]
  const following = close.journal.follow(HOLD_MS, stop.signal)
  const polling = pollStream(lagging.journal, stop.signal)
  await writeTasks(writer.journal, random)
  const after = [bytesOf(close.log), bytesOf(lagging.log)]
  stop.abort()
  await Promise.all([following, polling])
  await writeTasks(writer.journal, random, LAG_MS)
  const recoverLagging = await recover(lagging)
  const cold = openStream(service, stream)
  const recoverCold = await recover(cold)
  // The close standby is behind by what is written while one read is on its way.
  await recover(close)
  await writeTasks(writer.journal, random, MS_PER_S / TASKS_PER_S)
  const recoverClose = await recover(close)
  await Promise.all([writer, close, lagging, cold].map(({ log }) => log.close()))
  const rate = (index: number): number => (after[index]! - before[index]!) * MS_PER_S / WINDOW_MS
  const load = loadavg()[0]!
  return [
    { position: Position.Close, liveTasks, bytesPerS: rate(0), ...recoverClose, load },
    { position: Position.Lagging, liveTasks, bytesPerS: rate(1), ...recoverLagging, load },
    { position: Position.Cold, liveTasks, bytesPerS: 0, ...recoverCold, load }
  ]
}

async function openReader (service: Service, stream: string): Promise<Seat> {
  const seat = openStream(service, stream)
  const read = await seat.journal.catchUp()
  if (read.isErr()) throw new Error(read.error.detail)
  return seat
}

async function pollStream (journal: Stream, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await sleep(LAG_MS, undefined, { signal }).catch(() => {})
    if (!signal.aborted) await journal.catchUp()
  }
}

/** Accepts, starts and ends tasks at a constant rate. */
async function writeTasks (journal: Stream, random: Random, durationMs = WINDOW_MS): Promise<void> {
  const startMs = performance.now()
  const commits: Array<ReturnType<Stream['commit']>> = []
  for (let index = 0; index < durationMs * TASKS_PER_S / MS_PER_S; index++) {
    await sleep(Math.max(0, startMs + index * MS_PER_S / TASKS_PER_S - performance.now()))
    const task = `bee-planner.w${random.below(0x7fffffff)}`
    const changes = [createAccepted(task, random), createAttempt(task, random), createEnded(task)]
    for (const change of changes) commits.push(journal.commit(change, PATIENCE_MS))
  }
  await sleep(Math.max(0, startMs + durationMs - performance.now()))
  for (const commit of await Promise.all(commits)) {
    if (commit.isErr()) throw new Error(commit.error.detail)
  }
}

async function recover ({ journal, log }: Seat): Promise<Pick<Trade, 'recoverMs' | 'recoverKilobytes'>> {
  const beforeBytes = bytesOf(log)
  const startMs = performance.now()
  const read = await journal.catchUp()
  const recoverMs = performance.now() - startMs
  if (read.isErr()) throw new Error(read.error.detail)
  return { recoverMs, recoverKilobytes: (bytesOf(log) - beforeBytes) / MS_PER_S }
}

function bytesOf (log: RemoteLog): number {
  const { sent, received } = log.traffic()
  return sent + received
}

function createReport (trades: readonly Trade[]): Report {
  return {
    results: trades,
    tables: [{
      title: `Bytes against time to recover, at ${TASKS_PER_S} task starts a second`,
      columns: ['position', 'live tasks', 'B/s', 'recovers in ms', 'reads kB', 'load average'],
      rows: trades.map(({ position, liveTasks, bytesPerS, recoverMs, recoverKilobytes, load }) => [
        position, liveTasks, bytesPerS, recoverMs, recoverKilobytes, load
      ])
    }],
    charts: [{
      name: 'standby',
      title: 'Time to recover by live tasks',
      rows: trades.map(({ position, liveTasks, recoverMs }) => ({ position, liveTasks, recoverMs })),
      x: { field: 'liveTasks', title: 'live tasks', scale: 'log' },
      y: { field: 'recoverMs', title: 'milliseconds', scale: 'log' },
      series: 'position',
      mark: 'line'
    }]
  }
}
