/**
 * Bodies of requests while they arrive, in blocks that are used again. Memory outside the heap is collected late, so buffers that
 * were dropped could otherwise exceed the memory of a small machine.
 */

/** Size of a block. An ordinary body has one block. */
export const BLOCK_BYTES = 4096

/** Blocks that are free. */
export class Blocks {
  private readonly free: Buffer[] = []

  take (): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES)
  }

  put (block: Buffer): void {
    this.free.push(block)
  }

  /** Drops half of the free blocks, so that they do not stay after a peak. */
  trim (): void {
    this.free.length = Math.floor(this.free.length / 2)
  }
}

/** A body that arrives in parts. */
export class Body {
  private readonly held: Buffer[] = []
  private bytes = 0

  constructor (private readonly blocks: Blocks) {}

  /** Copies a part. */
  append (part: Buffer): void {
    let copied = 0
    while (copied < part.length) {
      const used = this.bytes % BLOCK_BYTES
      if (used === 0) this.held.push(this.blocks.take())
      const count = part.copy(this.held.at(-1)!, used, copied)
      copied += count
      this.bytes += count
    }
  }

  /** Returns the whole body as a copy, and sets the blocks free. */
  finish (): Buffer {
    const body = Buffer.allocUnsafe(this.bytes)
    for (const [index, block] of this.held.entries()) block.copy(body, index * BLOCK_BYTES)
    this.release()
    return body
  }

  /** Sets the blocks free. */
  release (): void {
    for (const block of this.held.splice(0)) this.blocks.put(block)
    this.bytes = 0
  }
}
