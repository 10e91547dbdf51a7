import { describe, expect, it } from 'vitest'
import { BLOCK_BYTES, Blocks, Body } from '../src/body.js'

describe('a body', () => {
  it.each([
    ['nothing', []],
    ['a part smaller than a block', [10]],
    ['a part of a whole block', [BLOCK_BYTES]],
    ['small parts over several blocks', Array.from({ length: 9 }, () => 1500)],
    ['a part over several blocks', [100, 3 * BLOCK_BYTES, 1]]
  ])('is whole after %s, in blocks that are used again', (_, sizes) => {
    const blocks = new Blocks()
    const parts = sizes.map((size, index) => Buffer.alloc(size, index + 1))
    let bodies: Buffer[] = []
    for (let round = 0; round < 2; round++) {
      const body = new Body(blocks)
      for (const part of parts) body.append(part)
      bodies = [...bodies, body.finish()]
    }
    expect(bodies).toEqual([Buffer.concat(parts), Buffer.concat(parts)])
  })

  it('sets its blocks free once', () => {
    const blocks = new Blocks()
    const body = new Body(blocks)
    body.append(Buffer.alloc(1))
    for (let round = 0; round < 2; round++) body.release()
    expect(blocks.take()).not.toBe(blocks.take())
  })
})
