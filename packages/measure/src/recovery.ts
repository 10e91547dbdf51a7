/**
 * Measures the journal and the configuration: group commits, recovery from a stream, application of deltas, and memory.
 */
import { runInNewContext } from 'node:vm'
import { setFlagsFromString } from 'node:v8'
import { ConfigurationState } from '@fireflymount/manifest/configuration-state'
import { Section } from '@fireflymount/manifest/manifest'
import { SystemClock, sleep } from '@fireflymount/service-clients/clock'
import { StateMachine } from '@fireflymount/service-clients/journal'
import { RemoteLog } from '@fireflymount/service-clients/log-client'
import { StreamJournal } from '@fireflymount/service-clients/stream-journal'
import { build } from 'hdr-histogram-js'
import { Random } from './random.js'
import { startLogService, type LogService } from './log-service.js'

const CHANGES_PER_RATE = 1000
const CHANGE_RATES_PER_S = [100, 620, 2000]
const COMMIT_INTERVAL_MS = 20
/** Minimum interval between two group commits while a stream is filled. */
export const FILL_COMMIT_INTERVAL_MS = 1
const LIVE_TASKS = [100, 1000, 10_000]
/** Completed tasks in the stream for each live one. */
const COMPLETED_PER_LIVE_TASK = 4
/** Tasks per group commit while the stream is filled. */
const TASKS_PER_COMMIT = 10
/** Live tasks per part of a snapshot. */
const TASKS_PER_PART = 300
const OBJECTS = 10_000
const DELTAS = 10_000
const SNAPSHOT_INTERVAL_MS = 10_000
const COMMIT_TIMEOUT_MS = 10_000
const BYTES_PER_KB = 1000

/** Cost of group commits at one rate of changes. */
export interface CommitResult {
  readonly changesPerS: number
  readonly appends: number
  /** Length of the records as JSON text, in characters (`charactersWritten` of the journal's counters). */
  readonly bytes: number
  readonly p50Ms: number
  readonly p99Ms: number
}

/** Cost of reading a stream from its start, by a reader without any state. */
export interface CatchUpResult {
  readonly liveTasks: number
  readonly snapshot: boolean
  readonly records: number
  /** Length of the records as JSON text, in thousands of characters (`charactersRead` of the journal's counters). */
  readonly kilobytes: number
  readonly catchUpMs: number
}

/** Cost of applying deltas to the configuration in one process. */
export interface ConfigurationResult {
  readonly objects: number
  readonly deltas: number
  /** Time to apply all deltas. */
  readonly foldMs: number
  /** Mean time to apply one delta. */
  readonly perDeltaUs: number
  /** Time to build the manifest after the deltas were applied. */
  readonly manifestMs: number
  readonly snapshotKilobytes: number
  /** Time to parse a snapshot and restore the configuration from it. */
  readonly restoreMs: number
  /** Heap that the configuration and its manifest take, before the measured deltas. */
  readonly heapMegabytes: number
}

/** Results of the part "recovery". */
export interface RecoveryResults {
  readonly commits: readonly CommitResult[]
  readonly recoveries: readonly CatchUpResult[]
  readonly folding: ConfigurationResult
}

/**
 * Measures the configuration in this process, and the journal against the log service stand-in in a separate process.
 *
 * @param seed seed of the random number generators
 * @returns the results
 *
 * @example
 * const { commits, recoveries, folding } = await measureRecovery(7)
 */
export async function measureRecovery (seed: number): Promise<RecoveryResults> {
  const folding = measureConfiguration(seed)
  const service = await startLogService()
  const commits: CommitResult[] = []
  for (const rate of CHANGE_RATES_PER_S) commits.push(await measureCommits(service, rate, new Random(seed)))
  const recoveries: CatchUpResult[] = []
  for (const liveTasks of LIVE_TASKS) recoveries.push(...await measureCatchUps(service, liveTasks, new Random(seed)))
  await service.close()
  return { commits, recoveries, folding }
}

/** A change of one task, of about the size that an owner writes. */
export interface TaskChange {
  readonly kind: 'accepted' | 'attempt' | 'ended'
  readonly task: string
}

/** The state of a shard, built by applying its changes. It holds the live tasks, which are accepted and not ended. */
export class TaskStateMachine extends StateMachine {
  private tasks = new Map<string, TaskChange>()

  apply (change: unknown): void {
    const { kind, task } = change as TaskChange
    if (kind === 'ended') this.tasks.delete(task)
    else this.tasks.set(task, { ...this.tasks.get(task), ...change as TaskChange })
  }

  snapshot (): readonly unknown[] {
    const tasks = [...this.tasks.values()]
    const parts: unknown[] = []
    for (let from = 0; from < tasks.length; from += TASKS_PER_PART) parts.push(tasks.slice(from, from + TASKS_PER_PART))
    return parts
  }

  restore (parts: readonly unknown[]): void {
    this.tasks = new Map((parts.flat() as TaskChange[]).map((task) => [task.task, task]))
  }

  count (): number {
    return this.tasks.size
  }
}

/** Creates the change that accepts a task. */
export function createAcceptance (task: string, random: Random): TaskChange {
  const accepted = {
    kind: 'accepted' as const,
    task,
    queue: 'yardage',
    team: 'guild-shops',
    digest: random.integerBelow(0x7fffffff).toString(16).padStart(64, '0'),
    idempotent: true,
    tasks: 1,
    runtimeMs: 4000,
    size: { cpuMilli: 1000, memoryMb: 2048, accelerators: 0 },
    body: { blocks: random.integerBelow(400), width: random.integerBelow(200) },
    atMs: 1_796_342_400_000
  }
  return accepted
}

/** Creates the change that records the first attempt of a task. */
export function createAttempt (task: string, random: Random): TaskChange {
  const worker = `bee-planner-${random.integerBelow(24)}`
  const attempt = { kind: 'attempt' as const, task, attempt: 1, worker, boot: '6f1c9a52' }
  return attempt
}

/** Creates the change that records the successful completion of a task. */
export function createCompletion (task: string): TaskChange {
  const outcome = { outcome: 'succeeded', result: { metres: 12 }, atMs: 1_796_342_404_000 }
  const ended = { kind: 'ended' as const, task, attempt: 1, ...outcome }
  return ended
}

/** The journal of one node, with its state machine and its log client. */
export interface OpenJournal {
  readonly journal: StreamJournal
  readonly stateMachine: TaskStateMachine
  readonly log: RemoteLog
}

/** Opens a new journal, with a log client of its own, on a stream of the log service. */
export function openJournal (service: LogService, stream: string, commitMs = COMMIT_INTERVAL_MS): OpenJournal {
  const stateMachine = new TaskStateMachine()
  const log = new RemoteLog({ address: service.address, node: 'entry-1' })
  const journal = new StreamJournal({
    log,
    stream,
    clock: new SystemClock(),
    stateMachine,
    commitMs,
    // Makes writeSnapshotIfDue() always write a snapshot.
    snapshotRecords: 1,
    snapshotMs: SNAPSHOT_INTERVAL_MS,
    timeoutMs: COMMIT_TIMEOUT_MS
  })
  return { journal, stateMachine, log }
}

async function measureCommits (service: LogService, changesPerS: number, random: Random): Promise<CommitResult> {
  const { journal, log } = openJournal(service, `commits-${changesPerS}`)
  await journal.claim({ counter: 1, node: 'entry-1' }, ['entry-2', 'entry-3'])
  const before = journal.counters()
  const histogram = build()
  const pending: Array<Promise<void>> = []
  const startMs = performance.now()
  for (let count = 0; count < CHANGES_PER_RATE; count += 1) {
    const dueMs = startMs + count * 1000 / changesPerS
    if (dueMs > performance.now()) await sleep(dueMs - performance.now())
    const sentMs = performance.now()
    const commit = journal.commit(createAcceptance(`bee-planner.${count}`, random), COMMIT_TIMEOUT_MS)
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
    bytes: after.charactersWritten - before.charactersWritten,
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000
  }
}

async function measureCatchUps (service: LogService, liveTasks: number, random: Random): Promise<CatchUpResult[]> {
  const stream = `recovery-${liveTasks}`
  const { journal, stateMachine, log } = openJournal(service, stream, FILL_COMMIT_INTERVAL_MS)
  await journal.claim({ counter: 1, node: 'entry-1' }, ['entry-2', 'entry-3'])
  await fillStream(journal, liveTasks, random)
  const fromFirstRecord = await measureRead(service, stream, liveTasks, false)
  const firstRetained = journal.position()
  const written = await journal.writeSnapshotIfDue()
  if (written.isErr() || !written.value || stateMachine.count() !== liveTasks) throw new Error('The snapshot was not written.')
  await service.expire(stream, firstRetained)
  const fromSnapshot = await measureRead(service, stream, liveTasks, true)
  await log.close()
  return [fromFirstRecord, fromSnapshot]
}

/** Writes the changes of live and completed tasks to a stream. */
export async function fillStream (journal: StreamJournal, liveTasks: number, random: Random): Promise<void> {
  const total = liveTasks * (1 + COMPLETED_PER_LIVE_TASK)
  for (let from = 0; from < total; from += TASKS_PER_COMMIT) {
    const commits: Array<ReturnType<StreamJournal['commit']>> = []
    for (let count = from; count < from + TASKS_PER_COMMIT; count += 1) {
      const task = `bee-planner.${count}`
      const changes = [createAcceptance(task, random), createAttempt(task, random)]
      if (count % (1 + COMPLETED_PER_LIVE_TASK) !== 0) changes.push(createCompletion(task))
      for (const change of changes) commits.push(journal.commit(change, COMMIT_TIMEOUT_MS))
    }
    const results = await Promise.all(commits)
    if (results.some((result) => result.isErr())) throw new Error('A change was not committed to the stream.')
  }
}

async function measureRead (service: LogService, stream: string, liveTasks: number, snapshot: boolean): Promise<CatchUpResult> {
  const { journal, stateMachine, log } = openJournal(service, stream)
  const startMs = performance.now()
  const read = await journal.catchUp()
  const catchUpMs = performance.now() - startMs
  if (read.isErr() || stateMachine.count() !== liveTasks) throw new Error(`The reader has ${stateMachine.count()} live tasks of ${liveTasks}.`)
  const { records, charactersRead } = journal.counters()
  await log.close()
  return { liveTasks, snapshot, records, kilobytes: charactersRead / BYTES_PER_KB, catchUpMs }
}

function measureConfiguration (seed: number): ConfigurationResult {
  const random = new Random(seed)
  const collectGarbage = exposeGarbageCollector()
  collectGarbage()
  const heapBefore = process.memoryUsage().heapUsed
  const state = createConfigurationState()
  state.manifest()
  collectGarbage()
  const heapMegabytes = (process.memoryUsage().heapUsed - heapBefore) / 1e6
  const startMs = performance.now()
  for (let count = 0; count < DELTAS; count += 1) {
    const delta = { publish: `fold-${count}`, base: state.revision(), changes: [createKey(random.integerBelow(OBJECTS), `${count}`)] }
    const { outcome } = state.apply(delta, state.revision() + 1)
    if (outcome !== 'accepted') throw new Error(`A configuration delta was not accepted: its outcome is "${outcome}".`)
  }
  const foldMs = performance.now() - startMs
  const manifestStartMs = performance.now()
  state.manifest()
  const manifestMs = performance.now() - manifestStartMs
  const text = JSON.stringify(state.snapshot())
  const restoreStartMs = performance.now()
  new ConfigurationState().restore(JSON.parse(text))
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

function createConfigurationState (): ConfigurationState {
  const state = new ConfigurationState()
  const team = { name: 'guild', workspace: 'guild', share: 1, upperLimit: {} }
  const base = [
    { section: Section.Workspaces, name: 'guild', value: { name: 'guild' } },
    { section: Section.Teams, name: 'guild', value: team }
  ]
  state.apply({ publish: 'base', base: -1, changes: base }, 0)
  for (let count = 0; count < OBJECTS; count += 1) {
    state.apply({ publish: `key-${count}`, base: state.revision(), changes: [createKey(count, 'first')] }, count + 1)
  }
  return state
}

function createKey (index: number, salt: string): { section: Section, name: string, value: unknown } {
  const name = `key-${index}`
  const hash = Buffer.from(`${name}/${salt}`.padEnd(32, '-')).toString('hex').slice(0, 64)
  return { section: Section.Keys, name, value: { name, team: 'guild', hash } }
}

function exposeGarbageCollector (): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}
