/**
 * Tests what a request to a worker, its answer or the record of a run changes that comes late, for instance after the worker has restarted
 * under its id.
 */
import { afterEach, beforeEach, expect, test } from 'vitest'
import { TaskState } from '@fireflymount/service-clients/worker'
import { Stage } from '../../src/owner/state.js'
import { JOB, SuccessiveOwners, sleep } from './successive-owners.js'

const TASK = `${JOB}/0`
const SLOW_WRITE_MS = 200
let shard: SuccessiveOwners

beforeEach(async () => {
  shard = new SuccessiveOwners()
  await expect.poll(() => [...shard.owner.fleet.all()].every((session) => session.adopted)).toBe(true)
})
afterEach(() => { shard.owner.stop() })

// Guards against a run whose end is acknowledged unread, and a task that runs twice: a run that was not sent, because its worker restarted
// while its attempt was being written, was both recorded as lost and returned to the queue, which dropped the next run.
test.each([{ idempotent: false }, { idempotent: true }])(
  'a run whose worker restarts while its attempt is being written runs once and its end is recorded, idempotent: $idempotent',
  async ({ idempotent }) => {
    shard.idempotent = idempotent
    shard.writeMs = SLOW_WRITE_MS
    await shard.submit()
    shard.worker.restart()
    await expect.poll(() => shard.worker.started, { timeout: 5000 }).toEqual([TASK])
    await sleep(2 * SLOW_WRITE_MS)
    shard.worker.end(TASK, TaskState.Succeeded)
    await sleep(2 * SLOW_WRITE_MS)
    expect([shard.worker.started, await shard.jobState(), shard.state.task(TASK)?.stage]).toEqual([[TASK], 'succeeded', Stage.Finished])
  }
)

// Guards against a task that runs twice, or after its job has ended as unknown: the start was carried out by the next incarnation of the
// worker, which the same owner had adopted.
test.each([
  { idempotent: false, started: [], state: 'unknown' },
  { idempotent: true, started: [TASK], state: 'running' }
])('a start that a worker carries out after it has restarted starts nothing, idempotent: $idempotent', async ({ idempotent, started, state }) => {
  shard.idempotent = idempotent
  const late: Array<() => void> = []
  shard.worker.lateStarts = late
  await shard.submit()
  await expect.poll(() => late.length).toBe(1)
  shard.worker.lateStarts = undefined
  shard.worker.restart()
  await expect.poll(() => shard.jobState()).toBe(state)
  await expect.poll(() => shard.worker.started).toEqual(started)
  for (const carryOut of late) carryOut()
  expect(shard.worker.started).toEqual(started)
})

// Guards against a task that runs twice: the answer to an adoption was overtaken by that to a start which the worker had carried out later,
// and the run was recorded as lost because the report did not list it.
test.each([
  { idempotent: false }, { idempotent: true }
])('a run that started after its worker had answered an adoption is not lost if the answer comes later, idempotent: $idempotent', async ({ idempotent }) => {
  shard.idempotent = idempotent
  let sendAnswers = (): void => {}
  shard.worker.heldAnswers = new Promise((resolve) => { sendAnswers = resolve })
  const { adoptions } = shard.worker
  shard.owner.fleet.session('w1')!.readoptAfter(-Infinity)
  await expect.poll(() => shard.worker.adoptions).toBe(adoptions + 1)
  await shard.submit()
  await expect.poll(() => shard.worker.started).toEqual([TASK])
  await sleep(50)
  sendAnswers()
  await sleep(100)
  expect([shard.worker.started, await shard.jobState()]).toEqual([[TASK], 'running'])
  shard.worker.end(TASK, TaskState.Succeeded)
  await expect.poll(() => shard.jobState()).toBe('succeeded')
  expect(shard.worker.started).toEqual([TASK])
})
