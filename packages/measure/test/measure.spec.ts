import { describe, expect, test } from 'vitest'
import { entitle } from '@fireflymount/measure/distance'
import { Queue } from '@fireflymount/measure/queue'
import { replaceSection } from '@fireflymount/measure/report'
import { quantile } from '@fireflymount/measure/tally'

describe('a section of the page', () => {
  test.each([
    { case: 'is added at the end', page: '# M\n', expected: '# M\n\n<!-- section a -->\nnew\n<!-- end of section a -->\n' },
    {
      case: 'is replaced between its marks',
      page: 'x\n<!-- section a -->\nold\n<!-- end of section a -->\ny\n',
      expected: 'x\n<!-- section a -->\nnew\n<!-- end of section a -->\ny\n'
    }
  ])('$case', ({ page, expected }) => {
    expect(replaceSection(page, 'a', 'new')).toBe(expected)
  })
})

describe('the places of 192 that a team is entitled to', () => {
  test.each([
    { case: 'follow the shares while all are short', winders: 500, recordings: 500, expected: [153.6, 38.4] },
    { case: 'pass to others what a team does not ask for', winders: 10, recordings: 500, expected: [10, 182] }
  ])('$case', ({ winders, recordings, expected }) => {
    const demands = new Map([
      ['winders', { running: 0, waiting: winders }],
      ['recordings', { running: recordings, waiting: 0 }]
    ])
    const entitled = entitle(demands)
    expect(entitled.get('winders')).toBeCloseTo(expected[0]!)
    expect(entitled.get('recordings')).toBeCloseTo(expected[1]!)
  })
})

test('events leave a queue by time, and in the order of arrival at the same time', () => {
  const queue = new Queue<string>()
  for (const [atMs, item] of [[5, 'e'], [1, 'a'], [3, 'c'], [1, 'b'], [3, 'd']] as const) queue.add(atMs, item)
  const taken: string[] = []
  while (queue.firstMs() < Infinity) taken.push(queue.take())
  expect(taken.join('')).toBe('abcde')
})

test.each([
  { values: [1, 2, 3, 4], part: 0.5, expected: 3 },
  { values: [1], part: 0.99, expected: 1 },
  { values: [], part: 0.5, expected: NaN }
])('the quantile $part of $values is $expected', ({ values, part, expected }) => {
  expect(quantile(values, part)).toBe(expected)
})
