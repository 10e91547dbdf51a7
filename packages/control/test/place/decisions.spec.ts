import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { findRetryAfterMs } from '../../src/place/admission.js'
import { ExcessLimiter, Shortage, shortageOf } from '../../src/place/excess.js'
import { fitGang, fitTask, isEligible, type Candidate } from '../../src/place/fit.js'
import { chooseRunsToStop, mayHold, mayPreempt } from '../../src/place/hold.js'
import { headroomOf } from '../../src/place/limit.js'
import { placementRankOf, type RankingInput } from '../../src/place/ranking.js'
import { nextThrottlePercent } from '../../src/place/throttle.js'
import { RateTracker } from '../../src/place/rate.js'
import { UrgentDemand } from '../../src/place/reserve.js'
import { SpeedEstimator } from '../../src/place/speed.js'
import { createStep } from '../fakes.js'

const NOW_MS = 1_700_000_000_000
const INPUT: RankingInput = {
  longRunning: false, priority: 1, dueMs: NOW_MS, objectiveMs: 5000, chainMs: 2000, started: false, overRate: false, yieldMs: 0
}
const SETTINGS = { farFactor: 2 }

function candidate (id: string, fields: Partial<Candidate> = {}): Candidate {
  const capacity = { cpuMilli: 16_000, memoryMb: 32_000, accelerators: 0 }
  return { id, rack: 'r1', labels: [], capacity, free: capacity, slowness: 1, hasServingTasks: false, bestEffortCount: 0, ...fields }
}

function cpu (cpuMilli: number): { cpuMilli: number, memoryMb: number, accelerators: number } {
  return { cpuMilli, memoryMb: 100, accelerators: 0 }
}

describe('the ranking of steps on a full upstream', () => {
  it.each([
    ['a long-running task before an urgent one', { longRunning: true, priority: 2 }, { priority: 0 }],
    ['the queue with the higher priority first', { priority: 0 }, { priority: 2, dueMs: NOW_MS - 1000 }],
    ['the job with less time left first', { dueMs: NOW_MS - 1000 }, {}],
    ['a started job before a new one with less time left', { started: true }, { dueMs: NOW_MS - 1000 }],
    ['a step that can be in time before one of a started job that is late', {}, { started: true, dueMs: NOW_MS - 4000 }],
    ['a step that can be in time before a late one', {}, { dueMs: NOW_MS - 4000 }],
    ['a late step before one that is too late to be of use', { dueMs: NOW_MS - 4000 }, { dueMs: NOW_MS - 40_000, priority: 0 }],
    ['a job due later before one that yields for longer than that', { dueMs: NOW_MS + 900 }, { yieldMs: 1000 }],
    ['a job that yields before one that is due later than that', { yieldMs: 1000 }, { dueMs: NOW_MS + 1100 }],
    ['a job that yields before one that is late', { yieldMs: 1e6 }, { dueMs: NOW_MS - 4000 }],
    ['a started job of a workspace that yields before a new job', { started: true, yieldMs: 1e6 }, {}],
    ['a job within the rate of its workspace before a job beyond it', { priority: 2 }, { priority: 0, overRate: true }]
  ])('puts %s', (_, first, second) => {
    expect(placementRankOf({ ...INPUT, ...first }, NOW_MS)).toBeLessThan(placementRankOf({ ...INPUT, ...second }, NOW_MS))
  })
})

describe('placement', () => {
  it.each([
    ['the fuller of two workers, to leave capacity for large tasks', createStep({ size: cpu(1000) }), [candidate('a'), candidate('b', { free: cpu(4000) })], 'b'],
    ['the rack of the data although the worker there is emptier', createStep({ size: cpu(1000), rack: 'r1' }),
      [candidate('a'), candidate('b', { rack: 'r2', free: cpu(4000) })], 'a'],
    ['a fast worker before a slow one', createStep({ size: cpu(1000) }), [candidate('a'), candidate('b', { slowness: 3, free: cpu(4000) })], 'a'],
    ['no worker without enough free capacity', createStep({ size: cpu(5000) }), [candidate('b', { free: cpu(4000) })], undefined],
    ['a worker without serving tasks for a best-effort task', createStep({ bestEffort: true }),
      [candidate('a', { hasServingTasks: true }), candidate('b')], 'b']
  ])('chooses %s', (_, step, candidates, id) => {
    expect(fitTask(step, step.size, candidates, new Map(), SETTINGS)?.id).toBe(id)
  })

  it('respects the limit of tasks per worker', () => {
    const step = createStep({ perWorker: 2 })
    expect(fitTask(step, step.size, [candidate('a'), candidate('b', { free: cpu(2000) })], new Map([['b', 2]]), SETTINGS)?.id).toBe('a')
  })

  it.each([
    ['on one rack if that rack fits all members', true, ['a', 'c'], ['a', 'c']],
    ['on several racks if no rack fits all', true, ['a', 'b'], ['a', 'b']]
  ])('places a gang %s', (_, sameRack, ids, expected) => {
    const all = { a: candidate('a'), b: candidate('b', { rack: 'r2' }), c: candidate('c') }
    const step = createStep({ gang: true, sameRack, count: 2, size: cpu(12_000) })
    const chosen = fitGang(step, step.size, 2, ids.map((id) => all[id as keyof typeof all]), SETTINGS)
    expect(chosen?.map((one) => one.id).sort()).toEqual(expected)
  })

  it('places all members of a gang or none, and leaves the free capacity unchanged', () => {
    const step = createStep({ gang: true, count: 3, size: cpu(12_000) })
    const candidates = [candidate('a'), candidate('b')]
    expect(fitGang(step, step.size, 3, candidates, SETTINGS)).toBeUndefined()
    expect(candidates.map((one) => one.free.cpuMilli)).toEqual([16_000, 16_000])
  })

  it.each([
    ['a label that it has', { label: 'b' }, ['a', 'b'], true],
    ['a label that it does not have', { label: 'c' }, ['a', 'b'], false],
    ['a size that exceeds its capacity', { size: cpu(99_000) }, [], false]
  ])('checks a worker for %s', (_, fields, labels, eligible) => {
    expect(isEligible(createStep(fields), labels, candidate('a').capacity)).toBe(eligible)
  })
})

describe('upper limits', () => {
  it.each([
    ['allow any number of tasks if they are 0', { cpuMilli: 0, memoryMb: 0, accelerators: 0 }, cpu(500), Infinity],
    ['allow whole tasks only', { ...cpu(5000), memoryMb: 0 }, cpu(500), 4],
    ['allow as many tasks as fit into the scarcest dimension', { cpuMilli: 9000, memoryMb: 250, accelerators: 0 }, cpu(0), 1],
    ['allow no task if lowered below the usage', cpu(100), cpu(500), 0]
  ])('%s', (_, limit, used, tasks) => {
    expect(headroomOf(limit, used, cpu(1000))).toBe(tasks)
  })
})

describe('capacity reserved for bursts of urgent tasks', () => {
  it('covers what urgent tasks have recently used and do not use now, up to a share of the total', () => {
    const demand = new UrgentDemand()
    for (let sample = 0; sample < 200; sample++) demand.record(cpu(sample % 2 === 0 ? 2000 : 6000), 500, sample * 100)
    demand.record(cpu(0), 500, 20_000)
    expect(demand.reserve(cpu(100_000)).cpuMilli).toBeGreaterThan(6000)
    expect(demand.reserve(cpu(10_000)).cpuMilli).toBe(4000)
  })
})

describe('holding workers for large tasks among small ones', () => {
  const large = { longRunning: false, urgentWithinRate: true, charge: cpu(12_000), slackMs: 500 }
  it.each([
    ['holds one for a long-running task immediately', { ...large, longRunning: true, slackMs: 99_000 }, 3000, true],
    ['holds one for a large urgent task shortly before it has to start', large, 3000, true],
    ['holds none for a task that can wait for longer than the worker takes to become empty', { ...large, slackMs: 9000 }, 3000, false],
    ['holds none for a small task', { ...large, charge: cpu(1000) }, 3000, false],
    ['holds none for a task of a lower-priority queue', { ...large, urgentWithinRate: false }, 3000, false]
  ])('%s', (_, task, timeToEmptyMs, held) => {
    expect(mayHold(task, candidate('a').capacity, timeToEmptyMs)).toBe(held)
  })

  it.each([
    ['in order of increasing lost work', [['a', 3000, 300], ['b', 3000, 100]], 3000, ['b']],
    ['as many as are needed', [['a', 3000, 300], ['b', 3000, 100]], 5000, ['b', 'a']],
    ['none if all of them would not free enough', [['a', 3000, 300]], 9000, []]
  ])('stops runs on them: %s', (_, rows, needed, stopped) => {
    const runs = rows.map(([run, size, stopCost]) => {
      return { run: String(run), charge: cpu(Number(size)), stopCost: Number(stopCost) }
    })
    expect(chooseRunsToStop({ ...cpu(needed), memoryMb: 0 }, cpu(0), runs)).toEqual(stopped)
  })

  it.each([
    ['little slack', 200, 500, true],
    ['much slack', 200, 5000, false]
  ])('stops runs for an urgent task depending on its slack: %s', (_, stopMs, slackMs, preempts) => {
    expect(mayPreempt({ ...large, slackMs }, stopMs)).toBe(preempts)
  })
})

describe('the rate of a workspace', () => {
  it.each([
    ['within the rate', 10, 10, 0],
    ['twice the rate', 10, 20, 10],
    ['without a rate', 0, 50, 0]
  ])('is exceeded only by the excess jobs: %s', (_, weight, jobs, beyond) => {
    const tracker = new RateTracker()
    let count = 0
    for (let job = 0; job < jobs; job++) if (tracker.count('guild', weight, NOW_MS + job)) count++
    expect(count).toBe(beyond)
  })
})

describe('the speed estimator', () => {
  it('detects slow workers by comparing tasks of one step', () => {
    const estimator = new SpeedEstimator()
    for (let step = 0; step < 20; step++) {
      for (const worker of ['a', 'b', 'c']) estimator.recordDuration(`s${step}`, worker, 1000)
      estimator.recordDuration(`s${step}`, 'slow', 4000)
    }
    expect(estimator.slownessOf('slow')).toBeGreaterThan(2)
    expect(estimator.slownessOf('a')).toBeLessThan(1.3)
  })

  it.each([
    ['for a few hundredths of its duration at its own speed', 2, 20_000, 1900, false],
    ['for a large share of its duration at its own speed', 2, 20_000, 2100, true],
    ['for longer than tasks of its step take, since it is slow itself', 2, 200_000, 3000, false],
    ['for a short time, although it is a short task', 2, 200, 600, false],
    ['for several times its duration', 2, 200, 800, true],
    ['from its start, for less than slow tasks of its step need to advance', 2, undefined, 2400, false],
    ['from its start, for longer than slow tasks of its step need to advance', 2, undefined, 2600, true],
    ['from its start, for less than a rough estimate allows', 0, undefined, 5900, false],
    ['from its start, for longer than a rough estimate allows', 0, undefined, 6100, true]
  ])('tells whether a task has stalled that makes no progress %s', (_, completedTasks, projectedMs, standstillMs, stalled) => {
    const estimator = new SpeedEstimator()
    for (let task = 0; task < completedTasks; task++) estimator.recordDuration('s', 'a', 10_000)
    expect(standstillMs > estimator.maxStandstillMs('s', 10_000, projectedMs)).toBe(stalled)
  })

  it('takes no task for stalled while nothing is known about its duration', () => {
    expect(new SpeedEstimator().maxStandstillMs('s', 0, undefined)).toBe(Infinity)
  })
})

describe('best-effort tasks beside tasks that serve users', () => {
  it.each([
    ['are throttled while a tail latency exceeds its target', 100, [{ tailMs: 90, targetMs: 50 }], 50],
    ['are paused if that is not enough', 13, [{ tailMs: 90, targetMs: 50 }], 0],
    ['run faster when there is headroom', 50, [{ tailMs: 10, targetMs: 50 }], 60],
    ['keep their speed just below the target', 50, [{ tailMs: 45, targetMs: 50 }], 50],
    ['run at full speed without serving tasks beside them', 20, [], 100]
  ])('%s', (_, percent, serving, next) => {
    expect(nextThrottlePercent(percent, serving)).toBe(next)
  })
})

describe('admission while a backlog of jobs exceeds the capacity', () => {
  const waiting = { slackMs: 800, totalSlackMs: 1000, workMs: 400, overRate: false }
  const almostLate = { ...waiting, slackMs: 300 }
  it.each([
    ['accepts jobs while nothing waits', [], undefined],
    ['accepts jobs while waiting steps have most of their slack left', [waiting, waiting], undefined],
    ['refuses jobs when a waiting step has little of its slack left', [waiting, almostLate], 1000],
    ['tells callers to retry once the waiting steps are expected to have capacity', [almostLate, { ...waiting, workMs: 3600 }], 5000],
    ['limits the time after which callers retry', [{ ...almostLate, workMs: 900_000 }], 20_000],
    ['accepts jobs although some waiting steps are already late, since these are placed after new jobs',
      [{ ...almostLate, slackMs: -5 }], undefined],
    ['does not count late steps, which are placed after new jobs', [almostLate, { ...almostLate, slackMs: -5, workMs: 90_000 }], 1000]
  ])('%s', (_, unplacedSteps, retryAfterMs) => {
    expect(findRetryAfterMs(unplacedSteps)).toBe(retryAfterMs)
  })
})

describe('a workspace that submits many times its rate', () => {
  /** Submits jobs at a steady rate for some seconds and returns the times of those accepted, and when the others may return. */
  function flood (
    jobsPerSecond: number, weight: number, seconds: number, contended: boolean
  ): { accepted: number, returns: number[] } {
    const limiter = new ExcessLimiter()
    const returns: number[] = []
    let accepted = 0
    for (let job = 0; job < jobsPerSecond * seconds; job++) {
      const atMs = NOW_MS + job * 1000 / jobsPerSecond
      const retryAfterMs = limiter.findRetryAfterMs('guild', weight, atMs, contended)
      if (retryAfterMs !== undefined) {
        returns.push(atMs + retryAfterMs)
        continue
      }
      accepted++
      limiter.count('guild', weight, atMs)
    }
    return { accepted, returns }
  }

  it.each([
    ['all jobs while no other job waits', 60, 10, false, 300],
    ['all jobs within the rate', 10, 10, true, 50],
    ['all jobs without a rate', 60, 0, true, 300],
    ['the jobs of a burst and of the rate while others wait', 60, 10, true, 70]
  ])('has accepted %s', (_, jobsPerSecond, weight, contended, expected) => {
    expect(Math.abs(flood(jobsPerSecond, weight, 5, contended).accepted - expected)).toBeLessThanOrEqual(1)
  })

  it('is within its rate again although the clock was set back by an hour', () => {
    const limiter = new ExcessLimiter()
    const count = (atMs: number): number | undefined => {
      const retryAfterMs = limiter.findRetryAfterMs('guild', 1, atMs, true)
      if (retryAfterMs === undefined) limiter.count('guild', 1, atMs)
      return retryAfterMs
    }
    for (let job = 0; job < 5; job++) count(NOW_MS + 3_600_000)
    count(NOW_MS)
    expect([count(NOW_MS + 2000), count(NOW_MS + 2000)]).toEqual([undefined, undefined])
  })

  it('has refused callers return no faster than its rate', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 2, max: 8 }), (weight, factor) => {
      const { returns } = flood(weight * factor, weight, 3, true)
      const inSecond = new Map<number, number>()
      for (const returnMs of returns) {
        const second = Math.floor((returnMs - NOW_MS) / 1000)
        inSecond.set(second, (inSecond.get(second) ?? 0) + 1)
      }
      // Callers beyond the maximum retry time return together.
      const within = [...inSecond].filter(([second]) => second < 20).map(([, count]) => count)
      expect(Math.max(0, ...within)).toBeLessThanOrEqual(weight + 1)
    }))
  })

  const peer = { slackMs: 800, totalSlackMs: 1000, overRate: false, tooLate: false, lacksCapacity: false }
  it.each([
    ['capacity, with full workers', { lacksCapacity: true }, Shortage.Capacity],
    ['advice, after half of its slack', { slackMs: 400 }, Shortage.Advice],
    ['advice, when it is late', { slackMs: -500 }, Shortage.Advice],
    ['nothing, while it waits for its first advice', {}, Shortage.None],
    ['nothing, if it is beyond the rate of its workspace too', { overRate: true, lacksCapacity: true }, Shortage.None],
    ['nothing, if it is too late to be of use', { slackMs: -9000, tooLate: true, lacksCapacity: true }, Shortage.None]
  ])('takes from a waiting step %s', (_, fields, expected) => {
    expect(shortageOf({ ...peer, ...fields })).toBe(expected)
  })
})
