import { describe, expect, it } from 'vitest'
import {
  BUSY_SILENCE_TIMEOUT_MS, FIRST_CLAIM_DELAY_MS, MIN_DISCONNECTED_MS, OWNER_SILENCE_TIMEOUT_MS, YOUNG_CLAIM_MS,
  YOUNG_SILENCE_TIMEOUT_MS, isClaimDue, rankOf, type Candidate, type OwnerView
} from '../../src/membership/election.js'

const NOW_MS = 100_000
const LOST: OwnerView = {
  linked: false,
  unlinkedMs: NOW_MS - 5000,
  heardMs: NOW_MS - 5000,
  claimReadMs: -Infinity,
  recentTakeovers: 0,
  refused: false,
  accepting: false,
  left: false,
  vacant: false,
  unclaimed: false,
  answerMs: 0
}
const JUST_CLAIMED: OwnerView = { ...LOST, recentTakeovers: 20, claimReadMs: NOW_MS, heardMs: NOW_MS }
const UNCLAIMED: OwnerView = { ...LOST, unclaimed: true, heardMs: -Infinity }

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
    ['claims at once when there is no owner', { ...LOST, vacant: true, unlinkedMs: NOW_MS, heardMs: -Infinity }, 0, true],
    // Guards against the incident of the saturated owner: all nodes claimed before they knew each other, and a small one won.
    ['waits for the other nodes to register when the cell was never claimed',
      { ...UNCLAIMED, unlinkedMs: NOW_MS - FIRST_CLAIM_DELAY_MS + 1 }, 0, false],
    ['claims once they had time to register when the cell was never claimed',
      { ...UNCLAIMED, unlinkedMs: NOW_MS - FIRST_CLAIM_DELAY_MS }, 0, true],
    ['lets candidates with a smaller rank number claim first when the cell was never claimed',
      { ...UNCLAIMED, unlinkedMs: NOW_MS - FIRST_CLAIM_DELAY_MS }, 1, false],
    // Guards against the incident of the saturated owner: busy owners superseded each other about once a second.
    ['waits longer while the process of the owner may be busy',
      { ...LOST, accepting: true, heardMs: NOW_MS - BUSY_SILENCE_TIMEOUT_MS + 1 }, 0, false],
    ['claims from an owner that accepts connections and stays silent',
      { ...LOST, accepting: true, heardMs: NOW_MS - BUSY_SILENCE_TIMEOUT_MS }, 0, true],
    ['waits longer for an owner that has just claimed',
      { ...LOST, claimReadMs: NOW_MS - YOUNG_CLAIM_MS + 1, heardMs: NOW_MS - YOUNG_SILENCE_TIMEOUT_MS + 1 }, 0, false],
    ['claims from an owner that has just claimed and stays silent',
      { ...LOST, claimReadMs: NOW_MS - YOUNG_CLAIM_MS + 1, heardMs: NOW_MS - YOUNG_SILENCE_TIMEOUT_MS }, 0, true],
    ['waits no longer once the claim is older',
      { ...LOST, claimReadMs: NOW_MS - YOUNG_CLAIM_MS, heardMs: NOW_MS - OWNER_SILENCE_TIMEOUT_MS }, 0, true],
    ['waits twice as long after a recent takeover',
      { ...LOST, recentTakeovers: 1, heardMs: NOW_MS - 2 * OWNER_SILENCE_TIMEOUT_MS + 1 }, 0, false],
    ['claims after that time', { ...LOST, recentTakeovers: 1, heardMs: NOW_MS - 2 * OWNER_SILENCE_TIMEOUT_MS }, 0, true],
    ['claims within 3 s after any number of recent takeovers', { ...LOST, recentTakeovers: 20, heardMs: NOW_MS - 3000 }, 0, true],
    ['claims soon when no process listens at the address of an owner that has just claimed, after many takeovers',
      { ...JUST_CLAIMED, refused: true, heardMs: NOW_MS - 160, unlinkedMs: NOW_MS - 160 }, 0, true],
    ['claims at once when an owner that has just claimed announced a planned stop, after many takeovers',
      { ...JUST_CLAIMED, linked: true, left: true, unlinkedMs: NOW_MS }, 0, true],
    ['claims at once when another process runs on the owner\'s node, although a connection to it is open',
      { ...LOST, linked: true, vacant: true, unlinkedMs: NOW_MS, heardMs: NOW_MS }, 0, true]
  ])('%s', (_, view, rank, due) => {
    expect(isClaimDue(view, rank, NOW_MS)).toBe(due)
  })

  it.each([
    ['the node after the owner is first', 'c', ['a', 'b', 'c'], 'b', 0],
    ['the order wraps around', 'a', ['a', 'b', 'c'], 'c', 0],
    ['the further nodes follow in order', 'a', ['a', 'b', 'c'], 'b', 1],
    ['a node that is not in the journal yet is first', 'z', ['a', 'b'], 'a', 0]
  ])('is ranked: %s', (_, node, nodes, owner, rank) => {
    expect(rankOf(node, nodes.map((name) => ({ node: name })), owner)).toBe(rank)
  })

  const SMALL = 0.324
  const LARGE = 1.35
  // Guards against the incident of the saturated owner: the first node by name owned the cell, whatever its processor.
  it.each<[string, string, Candidate[], string, number]>([
    ['a large node is before a small one with an earlier name', 'b',
      [{ node: 'a', processorShare: SMALL }, { node: 'b', processorShare: LARGE }], '', 0],
    ['a small node is after all large ones and waits longer', 'a',
      [{ node: 'a', processorShare: SMALL }, { node: 'b', processorShare: LARGE }, { node: 'c', processorShare: LARGE }], '', 3],
    ['a slightly smaller node does not wait longer', 'a',
      [{ node: 'a', processorShare: LARGE * 0.9 }, { node: 'b', processorShare: LARGE }], '', 1],
    ['large nodes are ordered by name after the owner', 'c',
      [{ node: 'a', processorShare: LARGE }, { node: 'b', processorShare: LARGE }, { node: 'c', processorShare: LARGE }], 'b', 0],
    ['a node with an unknown processor is last', 'a', [{ node: 'a' }, { node: 'b', processorShare: SMALL }], '', 2],
    ['nodes with unknown processors do not wait longer', 'b', [{ node: 'a' }, { node: 'b' }], '', 1],
    ['a node that is about to stop does not count', 'b', [{ node: 'a', processorShare: LARGE, leaving: true }, { node: 'b' }], '', 0],
    ['an earlier owner that restarted is after a larger node', 'a',
      [{ node: 'a', processorShare: SMALL }, { node: 'b', processorShare: LARGE }], 'a', 2],
    ['an earlier owner that restarted is before equal nodes', 'b',
      [{ node: 'a', processorShare: LARGE }, { node: 'b', processorShare: LARGE }, { node: 'c', processorShare: LARGE }], 'b', 0]
  ])('is ranked by its processor: %s', (_, node, candidates, owner, rank) => {
    expect(rankOf(node, candidates, owner)).toBe(rank)
  })
})
