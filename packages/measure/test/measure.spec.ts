import { describe, expect, test } from 'vitest'
import { computeFairShares } from '@fireflymount/measure/distance'
import { EventQueue } from '@fireflymount/measure/event-queue'
import { replaceSection } from '@fireflymount/measure/report'
import { quantile } from '@fireflymount/measure/task-statistics'

describe('a section of the page', () => {
  test.each([
    { case: 'is appended if the page lacks it', page: '# M\n', expected: '# M\n\n<!-- section a -->\nnew\n<!-- end of section a -->\n' },
    {
      case: 'is replaced between its markers',
      page: 'x\n<!-- section a -->\nold\n<!-- end of section a -->\ny\n',
      expected: 'x\n<!-- section a -->\nnew\n<!-- end of section a -->\ny\n'
    }
  ])('$case', ({ page, expected }) => {
    expect(replaceSection(page, 'a', 'new')).toBe(expected)
  })
})

describe('the fair shares of 192 slots', () => {
  test.each([
    { case: 'are proportional to the shares while every team wants more', winders: 500, recordings: 500, expected: [153.6, 38.4] },
    { case: 'give the slots that a team does not need to the others', winders: 10, recordings: 500, expected: [10, 182] }
  ])('$case', ({ winders, recordings, expected }) => {
    const demands = new Map([
      ['winders', { running: 0, waiting: winders }],
      ['recordings', { running: recordings, waiting: 0 }]
    ])
    const fairShares = computeFairShares(demands)
    expect(fairShares.get('winders')).toBeCloseTo(expected[0]!)
    expect(fairShares.get('recordings')).toBeCloseTo(expected[1]!)
  })
})

test('events are taken by time, and in the order of insertion if their times are equal', () => {
  const queue = new EventQueue<string>()
  for (const [atMs, item] of [[5, 'e'], [1, 'a'], [3, 'c'], [1, 'b'], [3, 'd']] as const) queue.add(atMs, item)
  const taken: string[] = []
  while (queue.firstMs() < Infinity) taken.push(queue.takeFirst())
  expect(taken.join('')).toBe('abcde')
})

test.each([
  { values: [1, 2, 3, 4], fraction: 0.5, expected: 3 },
  { values: [1], fraction: 0.99, expected: 1 },
  { values: [], fraction: 0.5, expected: NaN }
])('the quantile $fraction of $values is $expected', ({ values, fraction, expected }) => {
  expect(quantile(values, fraction)).toBe(expected)
})
