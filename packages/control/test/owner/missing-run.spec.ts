import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Phase, type Step } from '../../src/model/job.js'
import { RestartingCell, advance } from './restarting-cell.js'

const ID = '00000000000000bb'
const TASK = `${ID}.0.0.0`

let cell: RestartingCell
beforeEach(async () => {
  vi.useFakeTimers()
  cell = new RestartingCell()
  await advance(300)
})
afterEach(async () => {
  cell.owner.close()
  await advance(5000)
  vi.useRealTimers()
})

describe('a run that its worker lists neither as running nor as ended', () => {
  // Guards against a job that waits for as long as the worker answers, and against a task that runs again although its end was acknowledged.
  it.each<{ says: string, step: Partial<Step>, phase: Phase, starts: number }>([
    { says: 'fails its job', step: {}, phase: Phase.Failed, starts: 1 },
    { says: 'is placed again if it is long-running', step: { lasting: true }, phase: Phase.Active, starts: 2 },
    { says: 'is placed again if its task may run twice', step: { speculative: true }, phase: Phase.Active, starts: 2 }
  ])('$says', async ({ step, phase, starts }) => {
    await cell.accept(ID, step)
    expect(cell.worker.running).toHaveLength(1)
    await advance(2000)
    cell.worker.forget(TASK)
    await advance(6000)
    expect({ phase: cell.phaseOf(ID), starts: cell.startsOf(TASK).length }).toEqual({ phase, starts })
  })

  // Guards against a task that runs again because its worker restarts after its end was acknowledged unread.
  it('fails its job also if the worker restarts before it has confirmed the stop', async () => {
    await cell.accept(ID)
    await advance(2000)
    cell.worker.forget(TASK)
    while (!cell.lines.includes('run missing')) await advance(10)
    cell.worker.restart()
    cell.register()
    await advance(6000)
    expect({ phase: cell.phaseOf(ID), starts: cell.startsOf(TASK).length }).toEqual({ phase: Phase.Failed, starts: 1 })
  })

  it('changes nothing once another member of its gang has completed', async () => {
    await cell.accept(ID, { gang: true, count: 2 })
    expect(cell.worker.running).toHaveLength(2)
    await advance(2000)
    cell.worker.forget(TASK)
    cell.worker.end(`${ID}.0.0.1`)
    await advance(6000)
    expect({ phase: cell.phaseOf(ID), starts: cell.started.length }).toEqual({ phase: Phase.Completed, starts: 2 })
  })
})
