import { err, ok, type Result } from 'neverthrow'
import { beforeEach, expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { JournalFailure, type JournalError } from '@fireflymount/service-clients/journal'
import { EMPTY_MANIFEST, type Manifest } from '@fireflymount/manifest/manifest'
import { Shard } from '@fireflymount/policy/shard'
import { MessageKind, type Submit } from '@fireflymount/protocol/message'
import { Execution, Reason } from '@fireflymount/protocol/refusal'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { MAX_JOB_BODY_CHARACTERS, Jobs } from '../../src/owner/jobs.js'
import type { Runs } from '../../src/owner/runs.js'
import { ShardState } from '../../src/owner/state.js'

const SIZE = { cpuMilli: 1000, memoryMb: 1000, accelerators: 1 }
const MANIFEST: Manifest = {
  ...EMPTY_MANIFEST,
  queues: [{
    name: 'render',
    upstream: 'cloth-studio',
    workload: Workload.Batch,
    open: false,
    teams: ['guild'],
    idempotent: false,
    urgency: Urgency.Normal,
    size: SIZE,
    runtimeMs: 100,
    deadlineMs: 0,
    capacity: 5,
    attempts: 1,
    checkpoint: false
  }]
}

let state: ShardState
let failure: JournalFailure | undefined
let commits: number
let jobs: Jobs

beforeEach(() => {
  state = new ShardState()
  failure = undefined
  commits = 0
  jobs = new Jobs({
    scheduler: new Shard({ weights: { waiting: 1, share: 1, packing: 1 } }),
    journal: { available: () => true, commit },
    state,
    runs: { get: () => undefined, stop: () => {} } as unknown as Runs,
    clock: new SystemClock(),
    manifest: () => MANIFEST,
    capacities: () => [{ cpuMilli: 8000, memoryMb: 8000, accelerators: 2 }],
    onSuperseded: () => {},
    requestRound: () => {}
  })
})

async function commit (change: unknown): Promise<Result<void, JournalError>> {
  commits++
  await new Promise((resolve) => setTimeout(resolve, 5))
  if (failure !== undefined) return err({ failure, detail: '' })
  state.apply(change)
  return ok(undefined)
}

function submit (fields: Partial<Submit> = {}): Submit {
  return { kind: MessageKind.Submit, job: 'cloth-studio.a', queue: 'render', team: 'guild', digest: 'd1', tasks: 1, body: {}, ...fields }
}

test.each([
  { title: 'an unknown queue', fields: { queue: 'unheard' }, reason: Reason.NoSuchQueue },
  { title: 'no tasks', fields: { tasks: 0 }, reason: Reason.TooLarge },
  { title: 'more tasks than a job may have', fields: { tasks: 1001 }, reason: Reason.TooLarge },
  { title: 'more tasks than the queue holds', fields: { tasks: 6 }, reason: Reason.QueueFull },
  { title: 'a size larger than every worker', fields: { size: { ...SIZE, accelerators: 3 } }, reason: Reason.Infeasible },
  { title: 'a body that does not fit into a record', fields: { body: 'x'.repeat(MAX_JOB_BODY_CHARACTERS) }, reason: Reason.TooLarge }
])('a submission with $title is refused as not run, and nothing is written', async ({ fields, reason }) => {
  const refusal = (await jobs.submit(submit(fields)))._unsafeUnwrapErr()
  expect(refusal).toMatchObject({ reason, execution: Execution.NotRun })
  expect(commits).toBe(0)
})

test.each([
  { failure: JournalFailure.Unavailable, reason: Reason.LogUnavailable, execution: Execution.NotRun },
  { failure: JournalFailure.Unknown, reason: Reason.LogUnavailable, execution: Execution.Unknown },
  { failure: JournalFailure.Overloaded, reason: Reason.Overloaded, execution: Execution.NotRun },
  { failure: JournalFailure.Superseded, reason: Reason.NotOwner, execution: Execution.NotRun }
])('a submission whose commit fails as $failure is refused as $reason, $execution', async (row) => {
  failure = row.failure
  expect((await jobs.submit(submit()))._unsafeUnwrapErr()).toMatchObject({ reason: row.reason, execution: row.execution })
})

test('concurrent submissions of one job are accepted once, and a repeated one gets the job in its current state', async () => {
  const answers = await Promise.all([jobs.submit(submit()), jobs.submit(submit()), jobs.submit(submit())])
  expect(answers.map((answer) => answer._unsafeUnwrap().job)).toEqual(Array(3).fill('cloth-studio.a'))
  expect(commits).toBe(1)
  await jobs.cancel('cloth-studio.a')
  expect((await jobs.submit(submit()))._unsafeUnwrap().state).toBe('cancelled')
})

test('an idempotency key that is reused with other content is refused', async () => {
  await jobs.submit(submit())
  expect((await jobs.submit(submit({ digest: 'd2' })))._unsafeUnwrapErr().reason).toBe(Reason.KeyReused)
})

test('waiting tasks count toward the capacity of the queue until they are cancelled', async () => {
  await jobs.submit(submit({ tasks: 5 }))
  expect((await jobs.submit(submit({ job: 'cloth-studio.b' })))._unsafeUnwrapErr().reason).toBe(Reason.QueueFull)
  await jobs.cancel('cloth-studio.a')
  expect((await jobs.submit(submit({ job: 'cloth-studio.b' }))).isOk()).toBe(true)
})

test('a long poll for a job is answered as soon as the job ends', async () => {
  await jobs.submit(submit())
  const startMs = performance.now()
  const status = jobs.status('cloth-studio.a', 5000)
  await jobs.cancel('cloth-studio.a')
  expect((await status)._unsafeUnwrap().state).toBe('cancelled')
  expect(performance.now() - startMs).toBeLessThan(1000)
})
