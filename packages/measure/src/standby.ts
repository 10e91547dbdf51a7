/**
 * The part "standby": log traffic and recovery time of a standby, by how closely it follows the shard's stream.
 */
import { loadavg } from 'node:os'
import { setTimeout as sleep } from 'node:timers/promises'
import type { RemoteLog } from '@fireflymount/service-clients/log-client'
import type { StreamJournal } from '@fireflymount/service-clients/stream-journal'
import { Random } from './random.js'
import {
  createAcceptance, createAttempt, createCompletion, FILL_COMMIT_INTERVAL_MS, fillStream, openJournal, type OpenJournal
} from './recovery.js'
import { Part, type Report } from './report.js'
import { startLogService, type LogService } from './log-service.js'

const LIVE_TASKS = [100, 1_000, 10_000]
const TASKS_PER_S = 20
const WINDOW_MS = 15_000
const LONG_POLL_TIMEOUT_MS = 1_000
/** Interval between two reads of a standby that polls the stream. */
const LAGGING_POLL_INTERVAL_MS = 5_000
const COMMIT_TIMEOUT_MS = 10_000
const MS_PER_S = 1000
const BYTES_PER_KB = 1000

/** How closely a standby follows the stream of its shard. */
export enum StandbyMode {
  /** Follows the stream closely, with long polls. */
  Following = 'close',
  /** Polls the stream at intervals. */
  Lagging = 'lagging',
  /** Reads the stream only when it takes over. */
  Cold = 'cold'
}

/** Cost and recovery time of one kind of standby with one number of live tasks. */
export interface StandbyResult {
  /** Mode of the standby; the results call it its position. */
  readonly position: StandbyMode
  readonly liveTasks: number
  /** Bytes per second that the standby exchanges with the log, at 20 task starts a second. */
  readonly bytesPerS: number
  /** Time to read to the end of the stream if the owner crashes when the standby is furthest behind. */
  readonly recoverMs: number
  readonly recoverKilobytes: number
  /** Load average of the host over one minute. */
  readonly load: number
}

/** Measures standbys that follow the stream more or less closely. */
export class StandbyPart extends Part {
  readonly name = 'standby'
  readonly title = 'Standbys by how closely they follow the log'

  async measure (seed: number): Promise<Report> {
    const service = await startLogService()
    const results: StandbyResult[] = []
    try {
      for (const liveTasks of LIVE_TASKS) results.push(...await measureModes(service, liveTasks, new Random(seed)))
    } finally {
      await service.close()
    }
    return createReport(results)
  }
}

async function measureModes (service: LogService, liveTasks: number, random: Random): Promise<StandbyResult[]> {
  const stream = `standby-${liveTasks}`
  const writer = openJournal(service, stream, FILL_COMMIT_INTERVAL_MS)
  await writer.journal.claim({ counter: 1, node: 'entry-1' }, ['entry-2', 'entry-3'])
  await fillStream(writer.journal, liveTasks, random)
  const firstRetained = writer.journal.position()
  const written = await writer.journal.writeSnapshotIfDue()
  if (written.isErr() || !written.value) throw new Error('The snapshot was not written.')
  await service.expire(stream, firstRetained)
  const following = await openReader(service, stream)
  const lagging = await openReader(service, stream)
  const stop = new AbortController()
  const before = [totalBytes(following.log), totalBytes(lagging.log)]
  const followingLoop = following.journal.follow(LONG_POLL_TIMEOUT_MS, stop.signal)
  const polling = pollStream(lagging.journal, stop.signal)
  await writeTasks(writer.journal, random)
  const after = [totalBytes(following.log), totalBytes(lagging.log)]
  stop.abort()
  await Promise.all([followingLoop, polling])
  await writeTasks(writer.journal, random, LAGGING_POLL_INTERVAL_MS)
  const laggingRecovery = await measureCatchUp(lagging)
  const cold = openJournal(service, stream)
  const coldRecovery = await measureCatchUp(cold)
  // A standby in mode Following lags by the records that are written while one of its reads is in flight. Here, one task is
  // written in that time.
  await measureCatchUp(following)
  await writeTasks(writer.journal, random, MS_PER_S / TASKS_PER_S)
  const followingRecovery = await measureCatchUp(following)
  await Promise.all([writer, following, lagging, cold].map(({ log }) => log.close()))
  const rate = (index: number): number => (after[index]! - before[index]!) * MS_PER_S / WINDOW_MS
  const hostLoad = loadavg()[0]!
  return [
    { position: StandbyMode.Following, liveTasks, bytesPerS: rate(0), ...followingRecovery, load: hostLoad },
    { position: StandbyMode.Lagging, liveTasks, bytesPerS: rate(1), ...laggingRecovery, load: hostLoad },
    { position: StandbyMode.Cold, liveTasks, bytesPerS: 0, ...coldRecovery, load: hostLoad }
  ]
}

async function openReader (service: LogService, stream: string): Promise<OpenJournal> {
  const reader = openJournal(service, stream)
  const read = await reader.journal.catchUp()
  if (read.isErr()) throw new Error(read.error.detail)
  return reader
}

async function pollStream (journal: StreamJournal, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await sleep(LAGGING_POLL_INTERVAL_MS, undefined, { signal }).catch(() => {})
    if (!signal.aborted) await journal.catchUp()
  }
}

/** Commits the acceptance, the start and the completion of tasks at a constant rate. */
async function writeTasks (journal: StreamJournal, random: Random, durationMs = WINDOW_MS): Promise<void> {
  const startMs = performance.now()
  const commits: Array<ReturnType<StreamJournal['commit']>> = []
  for (let index = 0; index < durationMs * TASKS_PER_S / MS_PER_S; index++) {
    await sleep(Math.max(0, startMs + index * MS_PER_S / TASKS_PER_S - performance.now()))
    const task = `bee-planner.w${random.integerBelow(0x7fffffff)}`
    const changes = [createAcceptance(task, random), createAttempt(task, random), createCompletion(task)]
    for (const change of changes) commits.push(journal.commit(change, COMMIT_TIMEOUT_MS))
  }
  await sleep(Math.max(0, startMs + durationMs - performance.now()))
  for (const commit of await Promise.all(commits)) {
    if (commit.isErr()) throw new Error(commit.error.detail)
  }
}

async function measureCatchUp ({ journal, log }: OpenJournal): Promise<Pick<StandbyResult, 'recoverMs' | 'recoverKilobytes'>> {
  const beforeBytes = totalBytes(log)
  const startMs = performance.now()
  const read = await journal.catchUp()
  const recoverMs = performance.now() - startMs
  if (read.isErr()) throw new Error(read.error.detail)
  return { recoverMs, recoverKilobytes: (totalBytes(log) - beforeBytes) / BYTES_PER_KB }
}

function totalBytes (log: RemoteLog): number {
  const { sent, received } = log.traffic()
  return sent + received
}

function createReport (results: readonly StandbyResult[]): Report {
  return {
    results,
    tables: [{
      title: `Log traffic and time to recover, at ${TASKS_PER_S} task starts a second`,
      columns: ['mode', 'live tasks', 'B/s', 'recovery ms', 'reads kB', 'load average'],
      rows: results.map(({ position, liveTasks, bytesPerS, recoverMs, recoverKilobytes, load }) => [
        position, liveTasks, bytesPerS, recoverMs, recoverKilobytes, load
      ])
    }],
    charts: [{
      name: 'standby',
      title: 'Time to recover by live tasks',
      rows: results.map(({ position, liveTasks, recoverMs }) => ({ position, liveTasks, recoverMs })),
      x: { field: 'liveTasks', title: 'live tasks', scale: 'log' },
      y: { field: 'recoverMs', title: 'milliseconds', scale: 'log' },
      series: 'position',
      mark: 'line'
    }]
  }
}
