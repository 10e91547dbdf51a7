import { describe, expect, it } from 'vitest'
import type { Candidate } from '../../src/membership/election.js'
import { HANDOVER_DELAY_MS, Handover, MIN_OWNERSHIP_MS } from '../../src/membership/handover.js'
import { FakeClock } from '../fakes.js'

const SMALL: Candidate = { node: 'small', processorShare: 0.324 }
const LARGE: Candidate = { node: 'large', processorShare: 1.35 }

describe('an owner', () => {
  it.each<[string, Candidate, Candidate, string[], number, string | undefined]>([
    ['hands over to a much larger node', SMALL, LARGE, ['large'], HANDOVER_DELAY_MS, 'large'],
    ['waits until that node has been connected for a while', SMALL, LARGE, ['large'], HANDOVER_DELAY_MS - 1, undefined],
    ['does not hand over to a node that is not connected', SMALL, LARGE, [], HANDOVER_DELAY_MS, undefined],
    ['does not hand over to a node that is about to stop', SMALL, { ...LARGE, leaving: true }, ['large'], HANDOVER_DELAY_MS, undefined],
    ['does not hand over to a slightly larger node', { ...SMALL, processorShare: 0.9 }, LARGE, ['large'], HANDOVER_DELAY_MS, undefined],
    ['does not hand over to a smaller node', LARGE, SMALL, ['small'], HANDOVER_DELAY_MS, undefined],
    ['does not hand over to a node of unknown size', SMALL, { node: 'large' }, ['large'], HANDOVER_DELAY_MS, undefined],
    ['whose own size is unknown does not hand over', { node: 'small' }, LARGE, ['large'], HANDOVER_DELAY_MS, undefined]
  ])('%s', (_, own, other, connected, afterMs, successor) => {
    const clock = new FakeClock()
    const handover = new Handover(clock)
    expect(handover.findSuccessor(own, [own, other], connected)).toBeUndefined()
    clock.advance(afterMs)
    expect(handover.findSuccessor(own, [own, other], connected)).toBe(successor)
  })

  it('counts the time of a connection anew after it was lost', () => {
    const clock = new FakeClock()
    const handover = new Handover(clock)
    handover.findSuccessor(SMALL, [LARGE], ['large'])
    clock.advance(HANDOVER_DELAY_MS - 1)
    handover.findSuccessor(SMALL, [LARGE], [])
    handover.findSuccessor(SMALL, [LARGE], ['large'])
    clock.advance(1)
    expect(handover.findSuccessor(SMALL, [LARGE], ['large'])).toBeUndefined()
  })
})

describe('a slow owner', () => {
  const PEER: Candidate = { node: 'peer', processorShare: 0.324 }
  it.each<[string, number | undefined, number, Candidate, string[], number, string | undefined]>([
    ['hands over to a node of its size', 0.05, 0, PEER, ['peer'], MIN_OWNERSHIP_MS, 'peer'],
    ['does not hand over right after its claim', 0.05, 0, PEER, ['peer'], MIN_OWNERSHIP_MS - 1, undefined],
    ['keeps the cell for longer after a recent change', 0.05, 1, PEER, ['peer'], 2 * MIN_OWNERSHIP_MS - 1, undefined],
    ['hands over after a recent change too', 0.05, 1, PEER, ['peer'], 2 * MIN_OWNERSHIP_MS, 'peer'],
    ['does not hand over to a node that is hardly faster', 0.2, 0, PEER, ['peer'], MIN_OWNERSHIP_MS, undefined],
    ['does not hand over to a node that is not connected', 0.05, 0, PEER, [], MIN_OWNERSHIP_MS, undefined],
    ['does not hand over to a node that is about to stop', 0.05, 0, { ...PEER, leaving: true }, ['peer'], MIN_OWNERSHIP_MS, undefined],
    ['does not hand over to a node of unknown size', 0.05, 0, { node: 'peer' }, ['peer'], MIN_OWNERSHIP_MS, undefined],
    ['that is not slow any more keeps the cell', undefined, 0, PEER, ['peer'], MIN_OWNERSHIP_MS, undefined]
  ])('%s', (_, receivedShare, recentChanges, peer, connected, afterMs, successor) => {
    const clock = new FakeClock()
    const handover = new Handover(clock)
    clock.advance(afterMs)
    expect(handover.findFaster(receivedShare, recentChanges, [SMALL, peer], connected)).toBe(successor)
  })
})
