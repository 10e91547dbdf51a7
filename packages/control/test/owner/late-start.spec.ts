import { err } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { Phase, type Step } from '../../src/model/job.js'
import { RunOutcome } from '../../src/model/worker.js'
import { MAX_COMMAND_DELAY_MS } from '../../src/owner/lease.js'
import { MAX_UNCONFIRMED_START_MS } from '../../src/owner/ownership.js'
import { WorkerFailure } from '../../src/ports/fleet.js'
import { RestartingCell, advance, playWithFakeTimers, type RestartingWorker, type StartedRun } from './restarting-cell.js'

const ID = '00000000000000bb'
const WORK_MS = 300
/** Time in which the owner has placed a task whose runs have all ended. */
const PLACEMENT_MS = 2500

interface LateCase {
  readonly says: string
  readonly step?: Partial<Step>
  /** Whether the worker refuses all further starts until its restart. */
  readonly refuses?: boolean
  /** Time from the acceptance to the restart. */
  readonly afterMs: number
  readonly restart: (worker: RestartingWorker) => Promise<void>
}

let cell: RestartingCell
playWithFakeTimers(() => {
  cell = new RestartingCell(['w1', 'w2'])
  for (const worker of cell.workers) worker.workMs = WORK_MS
  return cell
})

/** Accepts a job whose first start is left unanswered. Returns the worker that has it. */
async function acceptWithLostStart (step: Partial<Step> = {}): Promise<RestartingWorker> {
  for (const worker of cell.workers) {
    const start = worker.start.bind(worker)
    worker.start = async (command) => {
      if (cell.workers.some(({ heldStarts }) => heldStarts.length > 0)) return await start(command)
      worker.holdsStarts = true
      const started = await start(command)
      worker.holdsStarts = false
      return started
    }
  }
  await cell.accept(ID, step)
  return cell.workers.find(({ heldStarts }) => heldStarts.length > 0)!
}

/** Lets gangs of two work once both members run, for as long as the cell exists. */
function completeGangs (): void {
  for (const worker of cell.workers) worker.workMs = undefined
  const timer = setInterval(() => {
    for (const first of cell.workers[0]!.running) {
      const second = cell.workers[1]!.running.find(({ run }) => run === first.run)
      if (second === undefined) continue
      cell.workers[0]!.end(first.task)
      cell.workers[1]!.end(second.task)
    }
  }, WORK_MS)
  setTimeout(() => { clearInterval(timer) }, 60_000)
}

function carryOutLate (worker: RestartingWorker): void {
  for (const command of worker.heldStarts) worker.carryOutStart(command)
}

/** Restarts a worker that is down for a while. */
async function restart (worker: RestartingWorker, downMs = 0): Promise<void> {
  if (downMs > 0) {
    worker.holds = true
    worker.holdsStarts = true
    await advance(downMs)
  }
  worker.restart()
  cell.register(worker)
}

function startedRuns (): StartedRun[] {
  return cell.workers.flatMap((worker) => worker.startedRuns).sort((left, right) => left.startedMs - right.startedMs)
}

/** Returns the pairs of runs of one task of which the second started while the first ran, or after its end as done was acknowledged. */
function findDoubleRuns (): string[] {
  const found: string[] = []
  const runs = startedRuns()
  for (const [index, later] of runs.entries()) {
    for (const earlier of runs.slice(0, index)) {
      if (earlier.task !== later.task) continue
      const isDone = earlier.ending === RunOutcome.Done && earlier.acknowledged
      if (later.startedMs < earlier.endedMs || isDone) {
        found.push(`${later.task}#${later.run} on ${later.worker} after #${earlier.run} on ${earlier.worker}`)
      }
    }
  }
  return found
}

describe('a start without an answer that a later incarnation of its worker carries out', () => {
  // Guards against a task that runs twice because the owner took a stop that the former incarnation had confirmed for the end of the
  // start, and placed the task on another worker.
  it.each<LateCase>([
    { says: 'before the owner has reached the new incarnation', afterMs: 4000, restart },
    { says: 'long after its start', afterMs: MAX_COMMAND_DELAY_MS - 1500, restart },
    { says: 'at once after a stop', afterMs: 1500, restart },
    {
      says: 'after the owner has reached the new incarnation',
      afterMs: 3000,
      restart: async (worker) => {
        await restart(worker)
        await advance(1000)
      }
    },
    {
      says: 'after the worker was away for longer than its lease',
      afterMs: 500,
      restart: async (worker) => { await restart(worker, 9500) }
    },
    {
      says: 'after the worker was away for longer than its lease, although it had confirmed the stop',
      afterMs: 2000,
      restart: async (worker) => { await restart(worker, 9500) }
    },
    {
      says: 'which is the second one since',
      afterMs: 3000,
      restart: async (worker) => {
        await restart(worker)
        await advance(3000)
        await restart(worker)
      }
    },
    {
      says: 'after the owner was lost',
      afterMs: 1500,
      restart: async (worker) => {
        await cell.succeed()
        await advance(4000)
        await restart(worker)
      }
    },
    {
      says: 'after the owner was lost before it had stopped the run',
      afterMs: 0,
      restart: async (worker) => {
        await cell.succeed()
        await advance(4000)
        await restart(worker)
      }
    },
    {
      says: 'after two owners were lost',
      afterMs: 1500,
      restart: async (worker) => {
        await cell.succeed()
        await advance(3000)
        await cell.succeed()
        await advance(3000)
        await restart(worker)
      }
    },
    {
      says: 'after all nodes and the worker were restarted',
      afterMs: 100,
      restart: async (worker) => {
        cell.owner.close()
        await advance(3000)
        await restart(worker)
        await cell.succeed()
        await advance(2000)
        await restart(worker)
      }
    },
    { says: 'as a member of a gang', step: { count: 2, gang: true, perWorker: 1 }, afterMs: 4000, restart },
    {
      says: 'as a member of a gang whose owner was lost',
      step: { count: 2, gang: true, perWorker: 1 },
      afterMs: 2000,
      restart: async (worker) => {
        await cell.succeed()
        await advance(3000)
        await restart(worker)
      }
    },
    { says: 'as a long-running task', step: { lasting: true }, afterMs: 4000, restart },
    { says: 'as a long-running task that the worker refuses to start again', step: { lasting: true }, refuses: true, afterMs: 4000, restart },
    {
      says: 'as a long-running task whose owner was lost',
      step: { lasting: true },
      afterMs: 100,
      restart: async (worker) => {
        await cell.succeed()
        await advance(3000)
        await restart(worker)
      }
    }
  ])('runs its task once, $says', async ({ step = {}, refuses = false, afterMs, restart }) => {
    if (step.lasting === true) for (const worker of cell.workers) worker.workMs = undefined
    if (step.gang === true) completeGangs()
    const worker = await acceptWithLostStart(step)
    const { start } = worker
    if (refuses) worker.start = async () => err(WorkerFailure.Unhealthy)
    await advance(afterMs)
    worker.start = start
    await restart(worker)
    carryOutLate(worker)
    await advance(MAX_UNCONFIRMED_START_MS + MAX_COMMAND_DELAY_MS + PLACEMENT_MS)
    const isRunning = startedRuns().some(({ endedMs }) => endedMs === Infinity)
    expect([findDoubleRuns(), step.lasting === true ? isRunning : cell.phaseOf(ID)])
      .toEqual([[], step.lasting === true ? true : Phase.Completed])
  })

  it.each<{ says: string, step: Partial<Step>, withinMs: number }>([
    { says: 'a task may run twice', step: { speculative: true }, withinMs: PLACEMENT_MS },
    { says: 'a long-running task can run on the same worker only', step: { lasting: true }, withinMs: PLACEMENT_MS },
    { says: 'no start can be carried out any more', step: {}, withinMs: MAX_COMMAND_DELAY_MS + PLACEMENT_MS }
  ])('does not delay the next start for longer than needed: $says', async ({ step, withinMs }) => {
    if (step.lasting === true) for (const worker of cell.workers) worker.workMs = undefined
    await acceptWithLostStart(step)
    await advance(withinMs)
    expect(startedRuns()).toHaveLength(1)
  })

  it('stops the other members of a gang at once', async () => {
    for (const worker of cell.workers) worker.workMs = undefined
    const worker = await acceptWithLostStart({ count: 2, gang: true, perWorker: 1 })
    await advance(PLACEMENT_MS)
    const [other] = startedRuns()
    expect([other?.worker === worker.id, other?.ending]).toEqual([false, RunOutcome.Stopped])
  })

  // Guards against a job that is not counted as waiting while its first start may be carried out late.
  it.each<{ says: string, prepare: () => Promise<void> }>([
    { says: 'by the owner that has sent it', prepare: async () => {} },
    { says: 'by a successor', prepare: async () => { await cell.succeed() } }
  ])('leaves its job unstarted until a task starts: $says', async ({ prepare }) => {
    await acceptWithLostStart()
    await prepare()
    await advance(PLACEMENT_MS)
    const before = cell.owner.unstartedJobs.countOf('preview')
    await advance(MAX_UNCONFIRMED_START_MS + MAX_COMMAND_DELAY_MS)
    expect([before, startedRuns().length, cell.owner.unstartedJobs.countOf('preview')]).toEqual([1, 1, 0])
  })

  it('counts a job as started after a takeover if one of its tasks was done before', async () => {
    await cell.accept(ID, { count: 2 })
    await advance(WORK_MS + 500)
    expect(cell.phaseOf(ID)).toBe(Phase.Completed)
    const second = '00000000000000cc'
    for (const worker of cell.workers) worker.workMs = undefined
    await cell.accept(second, { count: 2 })
    const [first] = startedRuns().filter(({ task }) => task.startsWith(second))
    cell.workerOf(first!.worker).end(first!.task)
    await advance(500)
    for (const worker of cell.workers) worker.restart()
    for (const worker of cell.workers) cell.register(worker)
    for (const worker of cell.workers) worker.holdsStarts = true
    await cell.succeed()
    await advance(PLACEMENT_MS)
    expect(cell.owner.unstartedJobs.countOf('preview')).toBe(0)
  })
})
