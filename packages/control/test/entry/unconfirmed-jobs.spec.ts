import { describe, expect, it } from 'vitest'
import { UnconfirmedJobs } from '../../src/entry/unconfirmed-jobs.js'

function idOf (index: number): string {
  return index.toString(16).padStart(16, '0')
}

/** Notes jobs at even intervals from time 0 on. */
function addAll (count: number, overMs: number): UnconfirmedJobs {
  const jobs = new UnconfirmedJobs()
  for (let index = 0; index < count; index++) jobs.add(idOf(index), overMs * index / count)
  return jobs
}

describe('jobs with an unknown outcome', () => {
  // Guards against a node that, after many unknown outcomes, takes every job for one that may be stored: it would append jobs for which
  // there is no room, and answer that their outcome is unknown although it has not sent them.
  it.each([{ count: 100 }, { count: 5000 }, { count: 30_000 }])('are all remembered, and few others with them: $count', ({ count }) => {
    const jobs = addAll(count, 59_000)
    let [known, others] = [0, 0]
    for (let index = 0; index < count; index++) {
      if (jobs.has(idOf(index), 59_000)) known++
      if (jobs.has(idOf(count + index), 59_000)) others++
    }
    expect([known, others <= 0.01 * count]).toEqual([count, true])
  })

  it.each([
    { seen: 'just now', atMs: 0, known: true },
    { seen: 'shortly before the time is over', atMs: 59_999, known: true },
    { seen: 'long ago', atMs: 120_000, known: false }
  ])('are remembered if they were seen $seen', ({ atMs, known }) => {
    const jobs = new UnconfirmedJobs()
    jobs.add('a', 0)
    expect(jobs.has('a', atMs)).toBe(known)
  })

  it('are remembered for their time while others are added, and not for more than twice that', () => {
    const jobs = addAll(600, 600_000)
    const known = Array.from({ length: 600 }, (_, index) => jobs.has(idOf(index), 600_000))
    expect([known.slice(541).every(Boolean), known.slice(0, 480).some(Boolean)]).toEqual([true, false])
  })
})
