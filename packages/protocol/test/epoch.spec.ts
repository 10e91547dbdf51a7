import { expect, test } from 'vitest'
import { compareEpochs } from '@fireflymount/protocol/epoch'

test.each([
  { left: { counter: 1, node: 'b' }, right: { counter: 2, node: 'a' }, sign: -1, says: 'a lower counter is older' },
  { left: { counter: 2, node: 'a' }, right: { counter: 2, node: 'b' }, sign: -1, says: 'epochs with equal counters are ordered by node name' },
  { left: { counter: 2, node: 'b' }, right: { counter: 2, node: 'b' }, sign: 0, says: 'an epoch equals itself' },
  { left: { counter: 3, node: 'a' }, right: { counter: 2, node: 'b' }, sign: 1, says: 'a higher counter is newer' }
])('$says', ({ left, right, sign }) => {
  expect(Math.sign(compareEpochs(left, right))).toBe(sign)
})
