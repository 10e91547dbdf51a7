/**
 * The steps of the demonstration. Each prints its results and what they show.
 */
import { readFileSync } from 'node:fs'
import type { Manifest } from '@fireflymount/manifest/manifest'
import { compareEpochs } from '@fireflymount/protocol/epoch'
import { NO_EVIDENCE, type Run } from '../check/evidence.js'
import { findViolations } from '../check/invariants.js'
import { fetchJob, readMonotonicMs, type SendResult } from '../run/caller.js'
import { findLongestGap } from '../run/condition-checks.js'
import { MANIFEST, type DemoContext } from './context.js'

const READY_TIMEOUT_MS = 15_000
const JOB_TIMEOUT_MS = 20_000
const MAX_FAILOVER_MS = 1_700
const MAX_GANG_START_SPREAD_MS = 500
const GUILD_KEY = 'guild-shops-site'
const WARDENS_KEY = 'church-wardens-desk'
const HOROLOGISTS_KEY = 'horologists-desk'
const UPSTREAMS = ['bee-planner', 'cloth-studio', 'rota-desk', 'regulator']

/** Applies the manifest of the deployments in Kyushu and Mauritius, and waits until every upstream has an owner. */
export async function showManifest (demo: DemoContext): Promise<void> {
  const applied = await demo.runCommand('apply', MANIFEST)
  const lines = applied.output.split('\n')
  demo.report('manifest', applied.exitCode === 0, lines.at(-1) ?? '',
    'The command line program put the deployments in Kyushu and Mauritius into effect.')
  const owned = await demo.waitFor(READY_TIMEOUT_MS, () => UPSTREAMS.every((upstream) => isAdopted(demo, upstream)))
  const owners = UPSTREAMS.map((upstream) => `${upstream} by ${ownerOf(demo, upstream)}`).join(', ')
  demo.report('owners', owned, owners, 'Each upstream has one owner, and all its workers were adopted under that owner\'s epoch.')
}

/** Sends a preview without a key. */
export async function showPreview (demo: DemoContext): Promise<void> {
  const { answer } = await demo.send({ queue: 'preview', synchronous: true, runMs: 30 })
  const isExpected = answer.outcome === 'answered' && answer.echoed === answer.nonce
  demo.report('preview', isExpected, `${answer.outcome} in ${latencyOf(answer)} ms`, 'A caller without a key got the answer to its own request.')
}

/** Sends a lookup with a key. */
export async function showLookup (demo: DemoContext): Promise<void> {
  const { answer } = await demo.send({ queue: 'lookup', synchronous: true, runMs: 10 }, GUILD_KEY)
  const isExpected = answer.outcome === 'answered' && answer.echoed === answer.nonce
  demo.report('lookup', isExpected, `${answer.outcome} in ${latencyOf(answer)} ms`, 'A request with a key is charged to the key\'s team.')
}

/** Submits a render twice with the same idempotency key. */
export async function showRender (demo: DemoContext): Promise<void> {
  await showIdempotentSubmission(demo, 'render', 'render', 'demo-render', GUILD_KEY, 'A billed render that was submitted twice ran once.')
}

/** Submits a booking twice with the same idempotency key. */
export async function showBooking (demo: DemoContext): Promise<void> {
  await showIdempotentSubmission(demo, 'booking', 'booking', 'demo-booking', WARDENS_KEY, 'A booking that was submitted twice ran once.')
}

/** Submits a batch of yardage estimates. */
export async function showBatch (demo: DemoContext): Promise<void> {
  const results = await sendMany(demo, 20, 400)
  const done = await waitForJobs(demo, results, GUILD_KEY)
  demo.report('yardage batch', done === results.length, `${done} of ${results.length} succeeded`, 'Every accepted estimate succeeded.')
}

/** Submits a drift study, a gang job whose tasks must all start at the same time. */
export async function showStudy (demo: DemoContext): Promise<void> {
  const result = await demo.send({ queue: 'drift-study', synchronous: false, tasks: 6, runMs: 1_000 }, HOROLOGISTS_KEY)
  const done = await waitForJobs(demo, [result], HOROLOGISTS_KEY)
  const starts = runsOf(demo, [result]).map((run) => run.startedMs)
  const spreadMs = Math.round(Math.max(...starts) - Math.min(...starts))
  const isExpected = done === 1 && starts.length === 6 && spreadMs < MAX_GANG_START_SPREAD_MS
  demo.report('drift study', isExpected, `${starts.length} tasks started within ${spreadMs} ms`, 'A gang job starts all its tasks together or none.')
}

/** Checks that the service in the manifest runs with all its replicas. */
export async function showService (demo: DemoContext): Promise<void> {
  const up = await demo.waitFor(READY_TIMEOUT_MS, () => replicasOf(demo).length === 3)
  const workers = replicasOf(demo).map((run) => run.worker)
  demo.report('swap ledger', up, `${workers.length} replicas on ${workers.join(', ')}`, 'A service runs with all its replicas.')
}

/** Kills the owner of a shard while work runs, and checks requests, jobs and the service after the failover. */
export async function showKill (demo: DemoContext): Promise<void> {
  const results = await sendMany(demo, 12, 4_000)
  await demo.waitFor(JOB_TIMEOUT_MS, () => runsOf(demo, results).length === results.length)
  const owner = ownerOf(demo, 'bee-planner')
  const killedMs = readMonotonicMs()
  demo.kill(owner)
  const { answer } = await demo.send({ queue: 'preview', synchronous: true, runMs: 10 })
  const passedMs = Math.round(answer.answeredMs - killedMs)
  const inTime = answer.outcome === 'answered' && passedMs <= MAX_FAILOVER_MS
  demo.report('owner killed', inTime, `${owner} was killed; a preview was ${answer.outcome} after ${passedMs} ms`,
    'Urgent work starts again within 1.7 s of the owner\'s failure.')
  const done = await waitForJobs(demo, results, GUILD_KEY)
  const starts = runsOf(demo, results).length
  const isExpected = done === 12 && starts === 12
  const successor = ownerOf(demo, 'bee-planner')
  demo.report('running work', isExpected, `${done} of 12 succeeded with ${starts} starts; now owned by ${successor}`,
    'The new owner adopted the running tasks and started none of them twice.')
  const gapMs = findLongestGap(demo.eventHistories.runs().filter((run) => run.kind === 'swap-ledger'), readMonotonicMs())
  const unbroken = gapMs === 0 && replicasOf(demo).length === 3
  demo.report('service', unbroken, `${replicasOf(demo).length} replicas, longest gap ${Math.round(gapMs)} ms`,
    'The service ran without interruption.')
}

/**
 * Checks the invariants on runs, answers and limits against the workers' event histories. The demonstration collects no
 * evidence on configuration histories, withdrawn keys and leaving workers.
 */
export async function showInvariants (demo: DemoContext): Promise<void> {
  await demo.eventHistories.refresh(demo.cell.workers.keys())
  const manifest = JSON.parse(readFileSync(MANIFEST, 'utf8')) as Manifest
  const violations = findViolations({
    ...NO_EVIDENCE,
    runs: demo.eventHistories.runs(),
    answers: demo.answers,
    capacities: demo.cell.capacities(),
    limits: manifest.teams.map((team) => ({ team: team.name, limit: team.upperLimit, sentMs: 0, acceptedMs: 0 })),
    nonIdempotent: manifest.queues.filter((queue) => !queue.idempotent).map((queue) => queue.name)
  })
  const details = violations.map((each) => each.detail).join('; ')
  const result = violations.length === 0 ? `${demo.eventHistories.runs().length} runs checked` : details
  demo.report('invariants', violations.length === 0, result, 'The workers\' event histories show no violation.')
}

async function showIdempotentSubmission (
  demo: DemoContext, title: string, queue: string, idempotencyKey: string, key: string, meaning: string
): Promise<void> {
  const work = { queue, synchronous: false, idempotencyKey, runMs: 300 }
  const results = await Promise.all([demo.send(work, key), demo.send(work, key)])
  const done = await waitForJobs(demo, results, key)
  const starts = runsOf(demo, results).length
  const isExpected = done === 2 && starts === 1 && results[0].job === results[1].job
  demo.report(title, isExpected, `submitted twice, ${starts} start`, meaning)
}

async function sendMany (demo: DemoContext, count: number, runMs: number): Promise<SendResult[]> {
  return Promise.all(Array.from({ length: count }, () => demo.send({ queue: 'yardage', synchronous: false, runMs }, GUILD_KEY)))
}

/** Waits until all jobs have succeeded or the timeout has passed. Returns how many have succeeded. */
async function waitForJobs (demo: DemoContext, results: readonly SendResult[], key: string): Promise<number> {
  let done = 0
  await demo.waitFor(JOB_TIMEOUT_MS, async () => {
    const jobs = await Promise.all(results.map(({ job }) => fetchJob(demo.apis()[0]!, job ?? 'none', `${key}.sample-${key}`)))
    done = jobs.filter((job) => job?.state === 'succeeded').length
    return done === results.length
  })
  return done
}

function runsOf (demo: DemoContext, results: readonly SendResult[]): Run[] {
  const nonces = new Set(results.map(({ answer }) => answer.nonce))
  return demo.eventHistories.runs().filter((run) => nonces.has(run.nonce ?? ''))
}

function replicasOf (demo: DemoContext): Run[] {
  return demo.eventHistories.runs().filter((run) => run.kind === 'swap-ledger' && run.endedMs === undefined)
}

function ownerOf (demo: DemoContext, upstream: string): string {
  return demo.eventHistories.epoch(demo.workersOf(upstream)).node
}

function isAdopted (demo: DemoContext, upstream: string): boolean {
  const workers = demo.workersOf(upstream)
  const newest = demo.eventHistories.epoch(workers)
  return newest.counter > 0 && workers.every((worker) => compareEpochs(demo.eventHistories.epoch([worker]), newest) === 0)
}

function latencyOf (answer: SendResult['answer']): number {
  return Math.round(answer.answeredMs - answer.sentMs)
}
