/**
 * The acts of the demonstration. Each prints one result, and what it shows.
 */
import { readFileSync } from 'node:fs'
import type { Manifest } from '@fireflymount/manifest/manifest'
import { compareEpochs } from '@fireflymount/protocol/epoch'
import { NO_EVIDENCE, type Run } from '../check/evidence.js'
import { findViolations } from '../check/invariants.js'
import { fetchJob, machineNow, type Receipt } from '../run/caller.js'
import { findLongestGap } from '../run/expectations.js'
import { MANIFEST, type Show } from './show.js'

const READY_MS = 15_000
const JOB_MS = 20_000
const START_MS = 1_700
const TOGETHER_MS = 500
const GUILD = 'guild-shops-site'
const WARDENS = 'church-wardens-desk'
const HOROLOGISTS = 'horologists-desk'
const UPSTREAMS = ['bee-planner', 'cloth-studio', 'rota-desk', 'regulator']

/** Applies the manifest of both deployments. */
export async function showManifest (show: Show): Promise<void> {
  const applied = await show.runCommand('apply', MANIFEST)
  const lines = applied.output.split('\n')
  show.tell('manifest', applied.exit === 0, lines.at(-1) ?? '', 'The command line brought both deployments into effect.')
  const owned = await show.waitFor(READY_MS, () => UPSTREAMS.every((upstream) => isAdopted(show, upstream)))
  const owners = UPSTREAMS.map((upstream) => `${upstream} by ${ownerOf(show, upstream)}`).join(', ')
  show.tell('owners', owned, owners, 'Each upstream has one owner, and all its workers hold that owner\'s epoch.')
}

/** Sends a preview without a key. */
export async function showPreview (show: Show): Promise<void> {
  const { answer } = await show.send({ queue: 'preview', synchronous: true, runMs: 30 })
  const right = answer.outcome === 'answered' && answer.echoed === answer.nonce
  show.tell('preview', right, `${answer.outcome} in ${spent(answer)} ms`, 'A member without a key got her own answer.')
}

/** Sends a lookup with a key. */
export async function showLookup (show: Show): Promise<void> {
  const { answer } = await show.send({ queue: 'lookup', synchronous: true, runMs: 10 }, GUILD)
  const right = answer.outcome === 'answered' && answer.echoed === answer.nonce
  show.tell('lookup', right, `${answer.outcome} in ${spent(answer)} ms`, 'A request with a key is counted for the key\'s team.')
}

/** Submits a render twice with one key. */
export async function showRender (show: Show): Promise<void> {
  await showOnce(show, 'render', 'render', 'demo-render', GUILD, 'A billed render that was sent twice ran once.')
}

/** Submits a booking twice with one key. */
export async function showBooking (show: Show): Promise<void> {
  await showOnce(show, 'booking', 'booking', 'demo-booking', WARDENS, 'A booking that was sent twice climbs one tower once.')
}

/** Submits a batch of yardage estimates. */
export async function showBatch (show: Show): Promise<void> {
  const receipts = await sendMany(show, 20, 400)
  const done = await waitForJobs(show, receipts, GUILD)
  show.tell('yardage batch', done === receipts.length, `${done} of ${receipts.length} succeeded`, 'Every accepted estimate ended.')
}

/** Submits a drift study whose tasks start all at once. */
export async function showStudy (show: Show): Promise<void> {
  const receipt = await show.send({ queue: 'drift-study', synchronous: false, tasks: 6, runMs: 1_000 }, HOROLOGISTS)
  const done = await waitForJobs(show, [receipt], HOROLOGISTS)
  const starts = runsOf(show, [receipt]).map((run) => run.startedMs)
  const spreadMs = Math.round(Math.max(...starts) - Math.min(...starts))
  const right = done === 1 && starts.length === 6 && spreadMs < TOGETHER_MS
  show.tell('drift study', right, `${starts.length} tasks started within ${spreadMs} ms`, 'An all-at-once job starts whole or not at all.')
}

/** Looks at the services that the manifest declares. */
export async function showService (show: Show): Promise<void> {
  const up = await show.waitFor(READY_MS, () => replicasOf(show).length === 3)
  const workers = replicasOf(show).map((run) => run.worker)
  show.tell('swap ledger', up, `${workers.length} replicas on ${workers.join(', ')}`, 'A service runs with all its replicas.')
}

/** Kills the owner of a shard while work runs. */
export async function showKill (show: Show): Promise<void> {
  const receipts = await sendMany(show, 12, 4_000)
  await show.waitFor(JOB_MS, () => runsOf(show, receipts).length === receipts.length)
  const owner = ownerOf(show, 'bee-planner')
  const killedMs = machineNow()
  show.kill(owner)
  const { answer } = await show.send({ queue: 'preview', synchronous: true, runMs: 10 })
  const passedMs = Math.round(answer.answeredMs - killedMs)
  const inTime = answer.outcome === 'answered' && passedMs <= START_MS
  show.tell('owner killed', inTime, `${owner} was killed; a preview was ${answer.outcome} after ${passedMs} ms`,
    'Urgent work starts again within 1.7 s.')
  const done = await waitForJobs(show, receipts, GUILD)
  const starts = runsOf(show, receipts).length
  const right = done === 12 && starts === 12
  const successor = ownerOf(show, 'bee-planner')
  show.tell('running work', right, `${done} of 12 succeeded with ${starts} starts; now owned by ${successor}`,
    'The new owner adopted what ran and started nothing twice.')
  const gapMs = findLongestGap(show.recorder.runs().filter((run) => run.kind === 'swap-ledger'), machineNow())
  const unbroken = gapMs === 0 && replicasOf(show).length === 3
  show.tell('service', unbroken, `${replicasOf(show).length} replicas, longest gap ${Math.round(gapMs)} ms`,
    'The service went on without a gap.')
}

/** Checks every invariant on the workers' own record. */
export async function showInvariants (show: Show): Promise<void> {
  await show.recorder.refresh(show.cell.workers.keys())
  const manifest = JSON.parse(readFileSync(MANIFEST, 'utf8')) as Manifest
  const violations = findViolations({
    ...NO_EVIDENCE,
    runs: show.recorder.runs(),
    answers: show.answers,
    capacities: show.cell.capacities(),
    limits: manifest.teams.map((team) => ({ team: team.name, limit: team.upperLimit, sentMs: 0, acceptedMs: 0 })),
    nonIdempotent: manifest.queues.filter((queue) => !queue.idempotent).map((queue) => queue.name)
  })
  const details = violations.map((each) => each.detail).join('; ')
  const result = violations.length === 0 ? `${show.recorder.runs().length} runs checked` : details
  show.tell('invariants', violations.length === 0, result, 'The workers\' own record shows no violation.')
}

async function showOnce (
  show: Show, title: string, queue: string, idempotencyKey: string, key: string, meaning: string
): Promise<void> {
  const sending = { queue, synchronous: false, idempotencyKey, runMs: 300 }
  const receipts = await Promise.all([show.send(sending, key), show.send(sending, key)])
  const done = await waitForJobs(show, receipts, key)
  const starts = runsOf(show, receipts).length
  const right = done === 2 && starts === 1 && receipts[0].job === receipts[1].job
  show.tell(title, right, `submitted twice, ${starts} start`, meaning)
}

async function sendMany (show: Show, count: number, runMs: number): Promise<Receipt[]> {
  return Promise.all(Array.from({ length: count }, () => show.send({ queue: 'yardage', synchronous: false, runMs }, GUILD)))
}

/** Waits for jobs and returns how many succeeded. */
async function waitForJobs (show: Show, receipts: readonly Receipt[], key: string): Promise<number> {
  let done = 0
  await show.waitFor(JOB_MS, async () => {
    const jobs = await Promise.all(receipts.map(({ job }) => fetchJob(show.apis()[0]!, job ?? 'none', `${key}.sample-${key}`)))
    done = jobs.filter((job) => job?.state === 'succeeded').length
    return done === receipts.length
  })
  return done
}

function runsOf (show: Show, receipts: readonly Receipt[]): Run[] {
  const nonces = new Set(receipts.map(({ answer }) => answer.nonce))
  return show.recorder.runs().filter((run) => nonces.has(run.nonce ?? ''))
}

function replicasOf (show: Show): Run[] {
  return show.recorder.runs().filter((run) => run.kind === 'swap-ledger' && run.endedMs === undefined)
}

function ownerOf (show: Show, upstream: string): string {
  return show.recorder.epoch(show.workersOf(upstream)).node
}

function isAdopted (show: Show, upstream: string): boolean {
  const workers = show.workersOf(upstream)
  const newest = show.recorder.epoch(workers)
  return newest.counter > 0 && workers.every((worker) => compareEpochs(show.recorder.epoch([worker]), newest) === 0)
}

function spent (answer: Receipt['answer']): number {
  return Math.round(answer.answeredMs - answer.sentMs)
}
