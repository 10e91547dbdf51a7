import { OrderFactor, WorkerVerdict, type WorkerOutlook } from '@fireflymount/protocol/dry-run'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { describe, expect, it } from 'vitest'
import { JobObstacle, planDryRun, type DryRunInput } from '../../src/dry-run/plan.js'
import { createQueue } from '../fakes.js'

const SIZE = { cpuMilli: 1000, memoryMb: 1000, accelerators: 0 }
const ADVISED = createQueue({ advice: { callMs: 10, workerMs: 1, validMs: 1500 } })

function worker (verdict: WorkerVerdict, startable = 0, id = 'w1'): WorkerOutlook {
  return { id, zone: 'fukuoka', capacity: SIZE, verdict, startable }
}

const FREE: DryRunInput = {
  job: undefined,
  owner: 'n1',
  queue: createQueue(),
  workspace: 'guild',
  count: 2,
  charge: SIZE,
  gang: false,
  refusal: undefined,
  paused: false,
  delayMs: 0,
  place: { before: 0, waiting: 3, slackMs: 500.4, rate: 0, overRate: false, pastUse: undefined },
  workers: [worker(WorkerVerdict.Available, 1), worker(WorkerVerdict.Label)],
  withinLimit: Infinity,
  reserve: undefined,
  totalFree: SIZE,
  untilFreeMs: 0
}
const BUSY = { workers: [worker(WorkerVerdict.Busy)], untilFreeMs: 700.2 }

describe('what keeps a job from starting', () => {
  it.each([
    ['nothing', {}, JobObstacle.None, 0],
    ['nothing, with others waiting first, for which workers may be held', { place: { ...FREE.place, before: 1 } }, JobObstacle.None, undefined],
    ['no worker', { workers: [] }, JobObstacle.Workers, undefined],
    ['an old read of the evacuations', { paused: true }, JobObstacle.Paused, undefined],
    ['labels and sizes', { workers: [worker(WorkerVerdict.Label), worker(WorkerVerdict.TooSmall)] }, JobObstacle.Shape, undefined],
    ['workers that take no tasks', { workers: [worker(WorkerVerdict.Evacuated), worker(WorkerVerdict.Label)] }, JobObstacle.Workers, undefined],
    ['the limit of the workspace', { withinLimit: 0 }, JobObstacle.Limit, undefined],
    ['the limit, for a part of a gang', { withinLimit: 1, gang: true }, JobObstacle.Limit, undefined],
    ['full workers, of which one is expected to have room', BUSY, JobObstacle.Capacity, 700],
    ['full workers, with others waiting first', { ...BUSY, place: { ...FREE.place, before: 1 } }, JobObstacle.Capacity, undefined],
    ['full workers whose runs have no expected end', { ...BUSY, untilFreeMs: Infinity }, JobObstacle.Capacity, undefined],
    ['a gang of which a part fits', { gang: true }, JobObstacle.Gang, undefined],
    ['the reserve for urgent tasks', { reserve: { ...SIZE, cpuMilli: 1 } }, JobObstacle.Reserve, undefined],
    ['nothing, beside a reserve', { reserve: SIZE, totalFree: { ...SIZE, cpuMilli: 2000, memoryMb: 2000 } }, JobObstacle.None, 0],
    ['a delay after failures', { delayMs: 70.2 }, JobObstacle.Delayed, 70],
    ['permitted workers beside unknown ones', { queue: ADVISED }, JobObstacle.None, 0],
    ['the advisor', { queue: ADVISED, workers: [worker(WorkerVerdict.AdviceUnknown, 1)] }, JobObstacle.Advice, undefined]
  ])('%s', (_, input, obstacle, startsInMs) => {
    const report = planDryRun({ ...FREE, ...input })
    expect([report.obstacle, report.startsInMs]).toEqual([obstacle, startsInMs])
    expect(report.detail).not.toBe('')
  })
})

describe('the order', () => {
  it.each([
    ['without rate and past use', {}, { [OrderFactor.Priority]: 0, [OrderFactor.Rate]: 'within', [OrderFactor.Slack]: 500 }],
    ['of a workspace beyond its rate', { rate: 5, overRate: true }, { [OrderFactor.Rate]: 'beyond' }],
    ['where past use counts', { pastUse: { share: 0.25, yieldMs: 40.4 } }, { [OrderFactor.PastUse]: 40 }],
    ['where past use counts and the workspace has used little', { pastUse: { share: 0, yieldMs: 0 } }, { [OrderFactor.PastUse]: 0 }]
  ])('%s', (_, place, factors) => {
    const { order } = planDryRun({ ...FREE, place: { ...FREE.place, before: 2, ...place } })
    expect(order).toMatchObject({ before: 2, detail: expect.stringContaining('of 3') })
    expect(Object.fromEntries(order.reasons.map(({ factor, value }) => [factor, value]))).toMatchObject(factors)
    expect(order.reasons.some(({ factor }) => factor === OrderFactor.PastUse)).toBe('pastUse' in place)
  })
})

describe('the report', () => {
  it('names owner, queue, upstream, workspace and the refusal', () => {
    const refusal = refuse(Reason.DeadlineUnreachable, 'Too many jobs.', 900)
    expect(planDryRun({ ...FREE, refusal })).toMatchObject({
      owner: 'n1', queue: 'preview', upstream: 'planner', team: 'guild', accepted: false, refusal
    })
    expect(planDryRun(FREE)).toMatchObject({ accepted: true })
  })

  it('groups workers that it does not tell apart, available ones first', () => {
    const busy = ['a', 'b', 'c', 'd'].map((id) => worker(WorkerVerdict.Busy, 0, id))
    const { workers } = planDryRun({ ...FREE, workers: [...busy, worker(WorkerVerdict.Available, 2, 'e')] })
    expect(workers).toMatchObject([
      { verdict: WorkerVerdict.Available, workers: 1, startable: 2, examples: ['e'] },
      { verdict: WorkerVerdict.Busy, workers: 4, startable: 0, examples: ['a', 'b', 'c'] }
    ])
  })
})
