import { describe, expect, it } from 'vitest'
import { SharedReads } from '../../src/entry/shared-reads.js'

describe('the reads for callers', () => {
  it.each([
    ['each', 3, 3],
    ['together', 300, 4]
  ])('are made for %s of %i callers at once', async (_, callers, expected) => {
    const ends: Array<() => void> = []
    let reads = 0
    const shared = new SharedReads(async () => {
      reads++
      await new Promise<void>((resolve) => { ends.push(resolve) })
    })
    const answered = Array.from({ length: callers }, async () => { await shared.run() })
    expect(reads).toBe(expected)
    while (ends.length > 0) {
      ends.shift()!()
      await new Promise((resolve) => setImmediate(resolve))
    }
    await Promise.all(answered)
    expect(reads).toBe(callers > expected ? expected + 1 : expected)
  })

  it('begin after the call for which they are made', async () => {
    const ends: Array<() => void> = []
    const shared = new SharedReads(async () => { await new Promise<void>((resolve) => { ends.push(resolve) }) })
    let answered = false
    const earlier = Array.from({ length: 4 }, async () => { await shared.run() })
    const last = shared.run().then(() => { answered = true })
    for (const end of ends.splice(0)) end()
    await new Promise((resolve) => setImmediate(resolve))
    expect([answered, ends.length]).toEqual([false, 1])
    ends[0]!()
    await Promise.all([...earlier, last])
  })
})
