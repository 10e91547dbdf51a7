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
    const ends = new ReportedEnds(false, () => {})
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

  // Guards against an end that is lost without a trace, because something has acknowledged it unread.
  it.each<{ says: string, isComplete: boolean, listed: number[][], skipped: number[][] }>([
    { says: 'of an incarnation that is known from its start', isComplete: true, listed: [[3, 4]], skipped: [[1, 2]] },
    { says: 'between two reports', isComplete: false, listed: [[7], [7, 9]], skipped: [[8, 8]] },
    { says: 'but not before the first one of an incarnation with earlier owners', isComplete: false, listed: [[7, 8]], skipped: [] },
    { says: 'but not for ends that are listed again', isComplete: true, listed: [[1, 2], [1, 2], [2, 3]], skipped: [] }
  ])('notice positions that no report has listed, $says', ({ isComplete, listed, skipped }) => {
    const noticed: number[][] = []
    const ends = new ReportedEnds(isComplete, (from, through) => { noticed.push([from, through]) })
    for (const positions of listed) ends.receive(positions.map(endAt))
    expect(noticed).toEqual(skipped)
  })
})
