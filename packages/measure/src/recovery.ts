/**
 * Measures the journal and the configuration: group commits, recovery, folding and memory.
 */
import { runInNewContext } from 'node:vm'
import { setFlagsFromString } from 'node:v8'
import { Ledger } from '@fireflymount/manifest/fold'
import { Section } from '@fireflymount/manifest/manifest'
import { SystemClock, sleep } from '@fireflymount/platform/clock'
import { Fold } from '@fireflymount/platform/journal'
import { RemoteLog } from '@fireflymount/platform/log-client'
import { Stream } from '@fireflymount/platform/stream'
import { build } from 'hdr-histogram-js'
import { Random } from './random.js'
import { startService, type Service } from './service.js'

const CHANGES = 1000
const RATES = [100, 620, 2000]
const COMMIT_MS = 20
/** Between commits while a stream is filled. */
/** Shortest time between two commits while a stream is filled. */
export const FILL_MS = 1
const LIVE_TASKS = [100, 1000, 10_000]
/** Tasks that ended before, for each that is live. */
const ENDED_PER_LIVE = 4
/** Tasks of one group commit while the stream is filled. */
const TASKS_PER_COMMIT = 10
const PART_TASKS = 300
const OBJECTS = 10_000
const DELTAS = 10_000
const PATIENCE_MS = 10_000
const BYTES_PER_KB = 1000

/** Cost of group commits at one rate. */
export interface Commits {
  readonly changesPerS: number
  readonly appends: number
  readonly bytes: number
  readonly p50Ms: number
  readonly p99Ms: number
}

/** A reader that starts without state. */
export interface Recovery {
  readonly liveTasks: number
  readonly snapshot: boolean
  readonly records: number
  readonly kilobytes: number
  readonly catchUpMs: number
}

/** The configuration in one process. */
export interface Folding {
  readonly objects: number
  readonly deltas: number
  readonly foldMs: number
  readonly perDeltaUs: number
  readonly manifestMs: number
  readonly snapshotKilobytes: number
  readonly restoreMs: number
  readonly heapMegabytes: number
}

/** Everything that this module measures. */
export interface RecoveryResults {
  readonly commits: readonly Commits[]
  readonly recoveries: readonly Recovery[]
  readonly folding: Folding
}

/**
 * Measures over the stand-in of the log service in a process of its own.
 *
 * @param seed seed of everything random
 * @returns the results
 *
 * @example
 * const { commits, recoveries, folding } = await measureRecovery(7)
 */
export async function measureRecovery (seed: number): Promise<RecoveryResults> {
  const folding = measureFolding(seed)
  const service = await startService()
  const commits: Commits[] = []
  for (const rate of RATES) commits.push(await measureCommits(service, rate, new Random(seed)))
  const recoveries: Recovery[] = []
  for (const liveTasks of LIVE_TASKS) recoveries.push(...await measureCatchUp(service, liveTasks, new Random(seed)))
  await service.close()
  return { commits, recoveries, folding }
}

/** The changes of one task, as long as those of an owner. */
export interface TaskChange {
  readonly kind: 'accepted' | 'attempt' | 'ended'
  readonly task: string
}

/** The live tasks of a shard. */
export class TaskFold extends Fold {
  private tasks = new Map<string, TaskChange>()

  apply (change: unknown): void {
    const { kind, task } = change as TaskChange
    if (kind === 'ended') this.tasks.delete(task)
    else this.tasks.set(task, { ...this.tasks.get(task), ...change as TaskChange })
  }

  snapshot (): readonly unknown[] {
    const tasks = [...this.tasks.values()]
    const parts: unknown[] = []
    for (let from = 0; from < tasks.length; from += PART_TASKS) parts.push(tasks.slice(from, from + PART_TASKS))
    return parts
  }

  restore (parts: readonly unknown[]): void {
    this.tasks = new Map((parts.flat() as TaskChange[]).map((task) => [task.task, task]))
  }

  count (): number {
    return this.tasks.size
  }
}

/** Builds the change that accepts a task. */
export function createAccepted (task: string, random: Random): TaskChange {
  const accepted = {
    kind: 'accepted' as const,
    task,
    queue: 'yardage',
    team: 'guild-shops',
    digest: random.below(0x7fffffff).toString(16).padStart(64, '0'),
    idempotent: true,
    tasks: 1,
    runtimeMs: 4000,
    size: { cpuMilli: 1000, memoryMb: 2048, accelerators: 0 },
    body: { blocks: random.below(400), width: random.below(200) },
    atMs: 1_796_342_400_000
  }
  return accepted
}

/** Builds the change of a task's first attempt. */
export function createAttempt (task: string, random: Random): TaskChange {
  const worker = `bee-planner-${random.below(24)}`
  const attempt = { kind: 'attempt' as const, task, attempt: 1, worker, boot: '6f1c9a52' }
  return attempt
}

/** Builds the change that ends a task. */
export function createEnded (task: string): TaskChange {
  const outcome = { outcome: 'succeeded', result: { metres: 12 }, atMs: 1_796_342_404_000 }
  const ended = { kind: 'ended' as const, task, attempt: 1, ...outcome }
  return ended
}

/** One node's journal, and what it needs. */
export interface Seat {
  readonly journal: Stream
  readonly fold: TaskFold
  readonly log: RemoteLog
}

/** Opens a journal of its own on a stream of the service. */
export function openStream (service: Service, stream: string, commitMs = COMMIT_MS): Seat {
  const fold = new TaskFold()
  const log = new RemoteLog({ address: service.address, node: 'entry-1' })
  const journal = new Stream({
    log,
    stream,
    clock: new SystemClock(),
    fold,
    commitMs,
    snapshotRecords: 1,
    snapshotMs: PATIENCE_MS,
    patienceMs: PATIENCE_MS
  })
  return { journal, fold, log }
}

async function measureCommits (service: Service, changesPerS: number, random: Random): Promise<Commits> {
  const { journal, log } = openStream(service, `commits-${changesPerS}`)
  await journal.claim({ counter: 1, node: 'entry-1' }, ['entry-2', 'entry-3'])
  const before = journal.counters()
  const histogram = build()
  const pending: Array<Promise<void>> = []
  const startMs = performance.now()
  for (let count = 0; count < CHANGES; count += 1) {
    const dueMs = startMs + count * 1000 / changesPerS
    if (dueMs > performance.now()) await sleep(dueMs - performance.now())
    const sentMs = performance.now()
    const commit = journal.commit(createAccepted(`bee-planner.${count}`, random), PATIENCE_MS)
    pending.push(commit.then((result) => {
      if (result.isErr()) throw new Error(result.error.detail)
      histogram.recordValue(Math.round((performance.now() - sentMs) * 1000))
    }))
  }
  await Promise.all(pending)
  const after = journal.counters()
  await log.close()
  return {
    changesPerS,
    appends: after.appends - before.appends,
    bytes: after.bytesWritten - before.bytesWritten,
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000
  }
}

async function measureCatchUp (service: Service, liveTasks: number, random: Random): Promise<Recovery[]> {
  const stream = `recovery-${liveTasks}`
  const { journal, fold, log } = openStream(service, stream, FILL_MS)
  await journal.claim({ counter: 1, node: 'entry-1' }, ['entry-2', 'entry-3'])
  await fillStream(journal, liveTasks, random)
  const whole = await readStream(service, stream, liveTasks, false)
  const asOf = journal.position()
  const written = await journal.compact()
  if (written.isErr() || !written.value || fold.count() !== liveTasks) throw new Error('The snapshot was not written.')
  await service.expire(stream, asOf)
  const restored = await readStream(service, stream, liveTasks, true)
  await log.close()
  return [whole, restored]
}

/** Writes live tasks, and the ended ones before them, to a stream. */
export async function fillStream (journal: Stream, liveTasks: number, random: Random): Promise<void> {
  const total = liveTasks * (1 + ENDED_PER_LIVE)
  for (let from = 0; from < total; from += TASKS_PER_COMMIT) {
    const commits: Array<ReturnType<Stream['commit']>> = []
    for (let count = from; count < from + TASKS_PER_COMMIT; count += 1) {
      const task = `bee-planner.${count}`
      const changes = [createAccepted(task, random), createAttempt(task, random)]
      if (count % (1 + ENDED_PER_LIVE) !== 0) changes.push(createEnded(task))
      for (const change of changes) commits.push(journal.commit(change, PATIENCE_MS))
    }
    const results = await Promise.all(commits)
    if (results.some((result) => result.isErr())) throw new Error('A change was not written.')
  }
}

async function readStream (service: Service, stream: string, liveTasks: number, snapshot: boolean): Promise<Recovery> {
  const { journal, fold, log } = openStream(service, stream)
  const startMs = performance.now()
  const read = await journal.catchUp()
  const catchUpMs = performance.now() - startMs
  if (read.isErr() || fold.count() !== liveTasks) throw new Error(`The reader has ${fold.count()} live tasks of ${liveTasks}.`)
  const { records, bytesRead } = journal.counters()
  await log.close()
  return { liveTasks, snapshot, records, kilobytes: bytesRead / BYTES_PER_KB, catchUpMs }
}

function measureFolding (seed: number): Folding {
  const random = new Random(seed)
  const collect = findCollector()
  collect()
  const heapBefore = process.memoryUsage().heapUsed
  const ledger = createLedger()
  ledger.manifest()
  collect()
  const heapMegabytes = (process.memoryUsage().heapUsed - heapBefore) / 1e6
  const startMs = performance.now()
  for (let count = 0; count < DELTAS; count += 1) {
    const delta = { publish: `fold-${count}`, base: ledger.revision(), changes: [createKey(random.below(OBJECTS), `${count}`)] }
    const { outcome } = ledger.apply(delta, ledger.revision() + 1)
    if (outcome !== 'accepted') throw new Error(`A delta was ${outcome}.`)
  }
  const foldMs = performance.now() - startMs
  const manifestStartMs = performance.now()
  ledger.manifest()
  const manifestMs = performance.now() - manifestStartMs
  const text = JSON.stringify(ledger.snapshot())
  const restoreStartMs = performance.now()
  new Ledger().restore(JSON.parse(text))
  return {
    objects: OBJECTS,
    deltas: DELTAS,
    foldMs,
    perDeltaUs: foldMs * 1000 / DELTAS,
    manifestMs,
    snapshotKilobytes: text.length / BYTES_PER_KB,
    restoreMs: performance.now() - restoreStartMs,
    heapMegabytes
  }
}

function createLedger (): Ledger {
  const ledger = new Ledger()
  const team = { name: 'guild', workspace: 'guild', share: 1, upperLimit: {} }
  const base = [
    { section: Section.Workspaces, name: 'guild', value: { name: 'guild' } },
    { section: Section.Teams, name: 'guild', value: team }
  ]
  ledger.apply({ publish: 'base', base: -1, changes: base }, 0)
  for (let count = 0; count < OBJECTS; count += 1) {
    ledger.apply({ publish: `key-${count}`, base: ledger.revision(), changes: [createKey(count, 'first')] }, count + 1)
  }
  return ledger
}

function createKey (index: number, salt: string): { section: Section, name: string, value: unknown } {
  const name = `key-${index}`
  const hash = Buffer.from(`${name}/${salt}`.padEnd(32, '-')).toString('hex').slice(0, 64)
  return { section: Section.Keys, name, value: { name, team: 'guild', hash } }
}

function findCollector (): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}
