import { describe, expect, it } from 'vitest'
import { Phase } from '../../src/model/job.js'
import { MAX_COMMAND_DELAY_MS } from '../../src/owner/lease.js'
import { WorkerFailure } from '../../src/ports/fleet.js'
import { Topic } from '../../src/ports/store.js'
import { RestartingCell, advance, playWithFakeTimers } from './restarting-cell.js'

const EARLIER_JOBS = ['00000000000000a1', '00000000000000a2', '00000000000000a3']
const ID = '00000000000000bb'
const TASK = `${ID}.0.0.0`
/** Longest time after which a worker still carries out a call that was not answered. */
const MAX_CALL_DELAY_MS = 12_000

let cell: RestartingCell
playWithFakeTimers(() => (cell = new RestartingCell()))

function isWritten (job: string): boolean {
  return cell.phaseOf(job) === Phase.Completed
}

/** Lets three ends be acknowledged, and holds all requests that the worker receives afterwards. */
async function acknowledgeAndHold (): Promise<void> {
  const { worker } = cell
  for (const id of EARLIER_JOBS) await cell.accept(id)
  for (const id of EARLIER_JOBS) worker.end(`${id}.0.0.0`)
  await advance(200)
  expect(worker.acknowledged).toHaveLength(3)
  worker.holds = true
}

/** Waits until a report request is held that acknowledges the three ends. */
async function waitForHeldReport (): Promise<void> {
  const { worker } = cell
  worker.holds = true
  for (let waitedMs = 0; waitedMs < 3000 && worker.held.length === 0; waitedMs += 5) await advance(5)
  expect(worker.held.length).toBeGreaterThan(0)
}

/** Restarts the worker and waits until it runs a new task, or can have no call to its former incarnation left to carry out. */
async function restartAndPlace (): Promise<void> {
  const { worker } = cell
  worker.restart()
  cell.register()
  await cell.accept(ID)
  for (let waitedMs = 0; waitedMs < MAX_CALL_DELAY_MS && worker.running.length === 0; waitedMs += 100) await advance(100)
}

/** Carries out the requests to the former incarnation that are still held. */
function carryOutHeld (): void {
  for (const command of cell.worker.held.splice(0)) cell.worker.carryOut(command)
}

describe('a report request that a worker carries out after it has restarted under its id', () => {
  // Guards against a task that runs again, or whose job never completes, because an end was acknowledged by the position that an end
  // of the former incarnation had.
  it.each<{ says: string, hold: () => Promise<void> }>([
    {
      says: 'repeats an acknowledgement',
      hold: async () => {
        await acknowledgeAndHold()
        await waitForHeldReport()
      }
    },
    {
      says: 'is the first one to acknowledge',
      hold: async () => {
        const { worker } = cell
        for (const id of EARLIER_JOBS) await cell.accept(id)
        for (const id of EARLIER_JOBS) worker.end(`${id}.0.0.0`)
        // The ends are read and written, and not acknowledged yet.
        for (let waitedMs = 0; waitedMs < 100 && !isWritten(EARLIER_JOBS[2]!); waitedMs++) await advance(1)
        expect(worker.acknowledged).toEqual([])
        await waitForHeldReport()
        expect(worker.held[0]!.acknowledged).toBe(3)
      }
    }
  ])('acknowledges no end that the owner has not read: it $says', async ({ hold }) => {
    const { worker } = cell
    await hold()
    await restartAndPlace()
    if (worker.running.length === 0) carryOutHeld()
    await advance(2000)
    worker.end(TASK)
    carryOutHeld()
    await advance(60_000)
    expect({ phase: cell.phaseOf(ID), started: cell.startsOf(TASK) }).toEqual({
      phase: Phase.Completed, started: [`${TASK}#1`]
    })
  })

  it('acknowledges no end that only the owner knows', async () => {
    const { worker } = cell
    await acknowledgeAndHold()
    await waitForHeldReport()
    await restartAndPlace()
    if (worker.running.length === 0) carryOutHeld()
    await advance(2000)
    cell.refuseAppends(true)
    worker.end(TASK)
    await advance(1000)
    carryOutHeld()
    const acknowledged = worker.acknowledged.map(({ task }) => task)
    await cell.takeOver()
    expect({ acknowledged, started: cell.startsOf(TASK) }).toEqual({ acknowledged: [], started: [`${TASK}#1`] })
  })

  it('acknowledges no end of a run that it starts late, before the owner knows of the restart', async () => {
    const { worker } = cell
    await acknowledgeAndHold()
    worker.holds = false
    worker.holdsStarts = true
    await cell.accept(ID)
    worker.holds = true
    await advance(50)
    worker.restart()
    for (const command of worker.heldStarts) worker.carryOutStart(command)
    worker.end(TASK)
    worker.holds = false
    await advance(60_000)
    expect({ phase: cell.phaseOf(ID), started: cell.startsOf(TASK) }).toEqual({
      phase: Phase.Completed, started: [`${TASK}#1`]
    })
  })

  // Guards against a task whose end is dropped unread because its start, and an acknowledgement of ends of the former incarnation, are
  // both carried out late, in this order, before the owner has reached the new incarnation.
  it.each<{ says: string, send: () => Promise<void> }>([
    {
      says: 'was sent after the request',
      send: async () => {
        const { worker } = cell
        for (const id of EARLIER_JOBS) await cell.accept(id)
        worker.holdMs = 2500
        for (const id of EARLIER_JOBS) worker.end(`${id}.0.0.0`)
        for (let waitedMs = 0; waitedMs < 100 && !isWritten(EARLIER_JOBS[2]!); waitedMs++) await advance(1)
        await waitForHeldReport()
        expect(worker.held[0]!.acknowledged).toBe(3)
        worker.holdsStarts = true
        await cell.accept(ID)
      }
    },
    {
      says: 'was sent before the request',
      send: async () => {
        const { worker } = cell
        for (const id of EARLIER_JOBS) await cell.accept(id)
        worker.holdMs = 900
        worker.holdsStarts = true
        await cell.accept(ID)
        for (const id of EARLIER_JOBS) worker.end(`${id}.0.0.0`)
        for (let waitedMs = 0; waitedMs < 100 && !isWritten(EARLIER_JOBS[2]!); waitedMs++) await advance(1)
        worker.holds = true
        await advance(200)
      }
    },
    {
      says: 'was stopped before the request',
      send: async () => {
        const { worker } = cell
        for (const id of EARLIER_JOBS) await cell.accept(id)
        worker.holdMs = 900
        worker.holdsStarts = true
        worker.holdsAcknowledgements = true
        await cell.accept(ID)
        for (const id of EARLIER_JOBS) worker.end(`${id}.0.0.0`)
        for (let waitedMs = 0; waitedMs < 1200 && worker.held.length === 0; waitedMs += 5) await advance(5)
      }
    }
  ])('acknowledges no end of a run that is started late too, whose start $says', async ({ send }) => {
    const { worker } = cell
    await send()
    expect(worker.heldStarts).toHaveLength(1)
    worker.restart()
    for (const command of worker.heldStarts) worker.carryOutStart(command)
    worker.end(TASK)
    carryOutHeld()
    cell.register()
    await advance(60_000)
    expect({ phase: cell.phaseOf(ID), started: cell.startsOf(TASK) }).toEqual({
      phase: Phase.Completed, started: [`${TASK}#1`]
    })
  })

  // Guards against a task that runs twice because the owner does not know of the restart: the new incarnation answers the start,
  // and then gets the acknowledgement of ends of the former one under the same fencing token.
  it.each<{ says: string, isShort: boolean }>([
    { says: 'ends before its start is answered, and nothing is late', isShort: true },
    { says: 'ends before the acknowledgement is carried out', isShort: false }
  ])('acknowledges no end of a run of a new incarnation that only its answered start has shown: it $says', async ({ isShort }) => {
    const { worker } = cell
    for (const id of EARLIER_JOBS) await cell.accept(id)
    worker.start = async (command) => {
      await new Promise((resolve) => setTimeout(resolve, 500))
      const started = worker.carryOutStart(command)
      if (isShort) worker.end(TASK)
      return started
    }
    await cell.accept(ID)
    expect(cell.startsOf(TASK)).toEqual([`${TASK}#1`])
    expect(worker.running).toHaveLength(3)
    for (const id of EARLIER_JOBS) worker.end(`${id}.0.0.0`)
    for (let waitedMs = 0; waitedMs < 100 && !isWritten(EARLIER_JOBS[2]!); waitedMs++) await advance(1)
    expect(worker.acknowledged).toEqual([])
    worker.restart()
    worker.holds = !isShort
    await advance(400)
    if (!isShort) {
      worker.end(TASK)
      carryOutHeld()
      worker.holds = false
    }
    cell.register()
    await advance(60_000)
    expect({ phase: cell.phaseOf(ID), started: cell.startsOf(TASK) }).toEqual({
      phase: Phase.Completed, started: [`${TASK}#1`]
    })
  })

  // Guards against an end that is dropped unread because the session that sent the acknowledgement was discarded: the next
  // session with the worker starts a run under the same fencing token.
  it('acknowledges no end of a run that a later session has started', async () => {
    const { worker } = cell
    for (const id of EARLIER_JOBS) await cell.accept(id)
    cell.store.put(Topic.Workers, { key: 'w1', value: undefined })
    await advance(12_000)
    for (const id of EARLIER_JOBS) worker.end(`${id}.0.0.0`)
    for (let waitedMs = 0; waitedMs < 100 && !isWritten(EARLIER_JOBS[2]!); waitedMs++) await advance(1)
    await waitForHeldReport()
    expect(worker.held[0]!.acknowledged).toBe(3)
    await advance(1000)
    const sentMs = performance.now()
    await restartAndPlace()
    expect(worker.running).toHaveLength(1)
    worker.end(TASK)
    expect(performance.now() - sentMs).toBeLessThan(MAX_CALL_DELAY_MS - 1000)
    carryOutHeld()
    await advance(60_000)
    expect({ phase: cell.phaseOf(ID), started: cell.startsOf(TASK) }).toEqual({
      phase: Phase.Completed, started: [`${TASK}#1`]
    })
  })
})

describe('a start that a worker carries out after it has restarted under its id', () => {
  // Guards against a task that runs twice at once: the former incarnation confirmed the stop of a run that had not started, and the
  // new one starts it although the owner has placed the task again.
  it('is refused once the owner has reached the new incarnation', async () => {
    const { worker } = cell
    worker.holdsStarts = true
    await cell.accept(ID)
    await advance(100)
    worker.holdsStarts = false
    await advance(3000)
    worker.restart()
    cell.register()
    await advance(1000)
    const late = worker.carryOutStart(worker.heldStarts[0]!)
    expect([late.isErr() && late.error, worker.running]).toEqual([WorkerFailure.Fenced, []])
    for (let waitedMs = 0; waitedMs < MAX_COMMAND_DELAY_MS && worker.running.length === 0; waitedMs += 50) await advance(50)
    expect(worker.running.map(({ run }) => run)).toEqual([2])
    worker.restart()
    cell.register()
    for (let waitedMs = 0; waitedMs < 5000 && worker.running.length === 0; waitedMs += 50) await advance(50)
    expect(worker.running.map(({ run }) => run)).toEqual([3])
    worker.carryOutStart(worker.heldStarts[0]!)
    expect(worker.running.map(({ run }) => run)).toEqual([3])
  })

  // Guards against a task that runs again although its end as done was acknowledged, because a later run of it had been assigned meanwhile.
  it('completes its task although a later run was assigned, which has not started', async () => {
    const { worker } = cell
    worker.holdMs = 900
    worker.holdsStarts = true
    // A task that may run twice is placed again at once.
    await cell.accept(ID, { speculative: true })
    for (let waitedMs = 0; waitedMs < 5000 && worker.heldStarts.length < 2; waitedMs += 5) await advance(5)
    expect(cell.startsOf(TASK)).toEqual([`${TASK}#1`, `${TASK}#2`])
    worker.restart()
    worker.carryOutStart(worker.heldStarts[0]!)
    worker.end(TASK)
    cell.register()
    await advance(60_000)
    expect({ phase: cell.phaseOf(ID), started: cell.startsOf(TASK) }).toEqual({
      phase: Phase.Completed, started: [`${TASK}#1`, `${TASK}#2`]
    })
  })
})
