import { serialize } from 'node:v8'
import { afterEach, beforeEach, expect, test } from 'vitest'
import type { DryRunReport } from '@fireflymount/protocol/dry-run'
import { MessageKind, type DryRun, type Request } from '@fireflymount/protocol/message'
import { Reason } from '@fireflymount/protocol/refusal'
import { JOB, SuccessiveOwners } from './successive-owners.js'

const WORK: DryRun = { kind: MessageKind.DryRun, queue: 'render', team: 'guild', tasks: 1 }
const EVACUATION: Request = { kind: MessageKind.Evacuate, shard: 'cloth-studio', zone: 'z', evacuated: true }
const DRAIN: Request = { kind: MessageKind.Drain, shard: 'cloth-studio', worker: 'w1', drained: true }

let shard: SuccessiveOwners

beforeEach(() => { shard = new SuccessiveOwners() })
afterEach(() => { shard.owner.stop() })

async function dryRun (overrides: Partial<DryRun> = {}): Promise<DryRunReport> {
  return (await shard.owner.handle({ ...WORK, ...overrides }))._unsafeUnwrap() as DryRunReport
}

async function adopted (): Promise<void> {
  await expect.poll(async () => (await dryRun()).workers[0]?.verdict).toBe('available')
}

async function handle (request: Request): Promise<void> {
  (await shard.owner.handle(request))._unsafeUnwrap()
}

test.each([
  { of: 'an idle worker', play: async () => {}, verdict: 'available', obstacle: 'none', startsInMs: 0 },
  { of: 'an evacuated zone', play: async () => { await handle(EVACUATION) }, verdict: 'evacuated', obstacle: 'workers' },
  { of: 'a drained worker', play: async () => { await handle(DRAIN) }, verdict: 'draining', obstacle: 'workers' },
  {
    of: 'a full worker',
    play: async () => {
      await shard.submit()
      await expect.poll(() => shard.worker.started).toEqual([`${JOB}/0`])
    },
    verdict: 'busy',
    obstacle: 'room',
    startsInMs: expect.any(Number)
  },
  { of: 'a log that is unavailable', play: async () => { shard.refuses = true }, verdict: 'available', obstacle: 'none', startsInMs: 0, reason: Reason.LogUnavailable }
])('the report on $of names the verdict $verdict, the obstacle $obstacle and the refusal $reason', async ({ play, verdict, obstacle, startsInMs, reason }) => {
  await adopted()
  await play()
  const report = await dryRun()
  expect(report).toMatchObject({ queue: 'render', upstream: 'cloth-studio', owner: 'n1', accepted: reason === undefined, obstacle })
  expect([report.workers[0]!.verdict, report.refusal?.reason, report.startsInMs]).toEqual([verdict, reason, startsInMs])
})

test('a worker that was not taken over yet is unreachable', async () => {
  shard.worker.heldAnswers = new Promise(() => {})
  shard.takeOver()
  expect(await dryRun()).toMatchObject({ obstacle: 'workers', workers: [{ verdict: 'unreachable', examples: ['w1'] }] })
})

test.each([
  { of: 'a task larger than any worker', overrides: { size: { cpuMilli: 2000, memoryMb: 1, accelerators: 0 } }, reason: Reason.Infeasible, obstacle: 'shape' },
  { of: 'an unknown team', overrides: { team: 'nobody' }, reason: undefined, obstacle: 'limit' }
])('the report on $of names the refusal $reason and the obstacle $obstacle', async ({ overrides, reason, obstacle }) => {
  await adopted()
  const report = await dryRun(overrides)
  expect([report.refusal?.reason, report.obstacle]).toEqual([reason, obstacle])
})

test('a queue that the owner does not know is refused', async () => {
  const answer = await shard.owner.handle({ ...WORK, queue: 'none' })
  expect(answer._unsafeUnwrapErr().reason).toBe(Reason.NoSuchQueue)
})

test('a dry run writes nothing, starts nothing and changes nothing in the state of the shard', async () => {
  await adopted()
  const look = (): unknown[] => {
    const { scheduler } = shard.owner
    return [serialize(shard.log), serialize(shard.state.jobs), scheduler.waiting(), scheduler.running()]
  }
  const before = look()
  for (let count = 0; count < 5; count++) await dryRun()
  await new Promise((resolve) => setTimeout(resolve, 150))
  expect([look(), shard.worker.started]).toEqual([before, []])
})
