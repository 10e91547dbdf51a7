import { describe, expect, it } from 'vitest'
import { isClaimDue, rankOf, OWNER_SILENCE_TIMEOUT_MS, MIN_DISCONNECTED_MS, type OwnerView } from '../../src/membership/election.js'

const NOW_MS = 100_000
const LOST: OwnerView = {
  linked: false, unlinkedMs: NOW_MS - 5000, heardMs: NOW_MS - 5000, refused: false, left: false, vacant: false, answerMs: 0
}

describe('a candidate', () => {
  it.each([
    ['claims when there is no connection to the owner and it has written no record for the timeout', LOST, 0, true],
    ['waits while it is connected to the owner', { ...LOST, linked: true }, 0, false],
    ['waits while the owner writes to the journal', { ...LOST, heardMs: NOW_MS - 200 }, 0, false],
    ['waits until the owner has written no record for the timeout',
      { ...LOST, heardMs: NOW_MS - OWNER_SILENCE_TIMEOUT_MS + 1 }, 0, false],
    ['waits so that a new connection to the owner can be established', { ...LOST, unlinkedMs: NOW_MS - MIN_DISCONNECTED_MS + 1 }, 0, false],
    ['claims soon after the connection was lost to an owner that had stopped writing',
      { ...LOST, unlinkedMs: NOW_MS - MIN_DISCONNECTED_MS }, 0, true],
    ['claims soon when no process listens at the owner\'s address', { ...LOST, refused: true, heardMs: NOW_MS - 160 }, 0, true],
    ['waits longer when the store is slow', { ...LOST, refused: true, heardMs: NOW_MS - 300, answerMs: 100 }, 0, false],
    ['waits while an owner that refuses connections writes to the journal',
      { ...LOST, refused: true, heardMs: NOW_MS - 100 }, 0, false],
    ['lets candidates with a smaller rank number claim first when no process listens',
      { ...LOST, refused: true, unlinkedMs: NOW_MS - 200 }, 2, false],
    ['lets candidates with a smaller rank number claim first', { ...LOST, unlinkedMs: NOW_MS - MIN_DISCONNECTED_MS - 50 }, 2, false],
    ['claims at once when the owner has announced a planned stop',
      { ...LOST, linked: true, left: true, unlinkedMs: NOW_MS }, 0, true],
    ['claims at once when there is no owner', { ...LOST, vacant: true, unlinkedMs: NOW_MS, heardMs: -Infinity }, 0, true]
  ])('%s', (_, view, rank, due) => {
    expect(isClaimDue(view, rank, NOW_MS)).toBe(due)
  })

  it.each([
    ['the node after the owner is first', 'c', ['a', 'b', 'c'], 'b', 0],
    ['the order wraps around', 'a', ['a', 'b', 'c'], 'c', 0],
    ['the further nodes follow in order', 'a', ['a', 'b', 'c'], 'b', 1],
    ['a node that is not in the journal yet is first', 'z', ['a', 'b'], 'a', 0]
  ])('is ranked: %s', (_, node, nodes, owner, rank) => {
    expect(rankOf(node, nodes, owner)).toBe(rank)
  })
})
