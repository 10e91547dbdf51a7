import { describe, expect, it } from 'vitest'
import { Fences, epochAfter } from '../../src/owner/fence.js'

describe('the fencing tokens of an owner', () => {
  // Guards against a worker that carries out commands of an earlier owner, also of one whose claim the new owner has not read.
  it.each([
    ['the newest claim that its owner has read', (before: number) => before],
    ['claims of earlier builds that follow it, each by one', (before: number) => before + 1000],
    ['the last token of the owner before', (before: number) => {
      const fence = new Fences(before).create()
      for (let count = 0; count < 100; count++) fence.raise()
      return fence.current
    }]
  ])('are above %s', (_, used) => {
    const before = epochAfter(epochAfter(0))
    expect(new Fences(epochAfter(before)).create().current).toBeGreaterThan(used(before))
  })

  // Guards against a successor of an earlier build, whose token is its epoch, the newest one plus one, and which workers refuse.
  it('are never above the epoch of the claim', () => {
    const epoch = 2 * epochAfter(0)
    const fence = new Fences(epoch).create()
    while (fence.raise());
    expect([fence.current, fence.raise()]).toEqual([epoch, false])
  })

  // Guards against an owner that is refused by a worker whose session it had discarded, and takes that for a successor; and against a start
  // of the new session that has the token of the last acknowledgement of the former one.
  it('rise with a new session', () => {
    const fences = new Fences(epochAfter(0))
    const before = fences.create()
    before.raise()
    const used = before.current
    fences.retire(before)
    fences.retire(fences.create())
    expect(fences.create().current).toBeGreaterThan(used)
  })
})
