import { describe, expect, it } from 'vitest'
import { RunOutcome, type EndedRun } from '../../src/model/worker.js'
import { ReportedEnds } from '../../src/owner/reported-ends.js'

/** Positions that a report lists, and those of the ends to handle that were written before the next report. */
type Step = readonly [listed: readonly number[], written: readonly number[]]

function endAt (position: number): EndedRun {
  return { position, task: 'a.0.0.0', run: 1, ending: RunOutcome.Done, checkpoint: '' }
}

describe('the ends that a worker has reported', () => {
  it.each<{ says: string, steps: readonly Step[], handled: number[][], acknowledged: number[] }>([
    { says: 'once they are written', steps: [[[1, 2], [1, 2]]], handled: [[1, 2]], acknowledged: [2] },
    { says: 'up to the first that failed', steps: [[[1, 2, 3], [1, 3]]], handled: [[1, 2, 3]], acknowledged: [1] },
    {
      says: 'together with one that failed before',
      steps: [[[1, 2, 3], [1, 3]], [[2, 3], [2]]],
      handled: [[1, 2, 3], [2]],
      acknowledged: [1, 3]
    },
    { says: 'in the order of their positions', steps: [[[3, 2], [3]]], handled: [[3, 2]], acknowledged: [0] },
    // Guards against a worker that restarts under its id and drops ends of its new incarnation.
    { says: 'no more once the worker has dropped them', steps: [[[1, 2], [1, 2]], [[], []]], handled: [[1, 2], []], acknowledged: [2, 0] },
    {
      says: 'again if a late report has hidden that the worker still lists them',
      steps: [[[1], [1]], [[], []], [[1], []]],
      handled: [[1], [], []],
      acknowledged: [1, 0, 1]
    }
  ])('are acknowledged $says', ({ steps, handled, acknowledged }) => {
    const ends = new ReportedEnds()
    const received: number[][] = []
    const positions: number[] = []
    for (const [listed, written] of steps) {
      const unhandled = ends.receive(listed.map(endAt))
      received.push(unhandled.map(({ position }) => position))
      ends.settle(unhandled, unhandled.filter(({ position }) => written.includes(position)))
      positions.push(ends.acknowledged)
    }
    expect([received, positions]).toEqual([handled, acknowledged])
  })
})
