/**
 * The clocks of the node at the other end of a connection. They give a request a deadline that the other end can check by itself,
 * so that a request which waited there, for example while the machine was suspended, is refused instead of executed late.
 */
import { Codec, number, type GetType } from 'purify-ts/Codec'

/**
 * A moment on both clocks of one node, in milliseconds: a monotonic clock that stops while the machine is suspended, and the wall
 * clock, which goes on but can be set.
 */
export const ClockReadingCodec = Codec.interface({ steadyMs: number, wallMs: number })
export type ClockReading = GetType<typeof ClockReadingCodec>

const ENCODED_BYTES = 16

/** Reads the clocks of this node. */
export function readClocks (): ClockReading {
  return { steadyMs: performance.now(), wallMs: Date.now() }
}

/**
 * Returns true once a deadline has passed on this node.
 *
 * @param deadline a moment on the clocks of this node
 */
export function hasPassed (deadline: ClockReading): boolean {
  return performance.now() > deadline.steadyMs || Date.now() > deadline.wallMs
}

/** Encodes a reading in 16 bytes, for the payload of a ping. */
export function encodeReading ({ steadyMs, wallMs }: ClockReading): Buffer {
  const bytes = Buffer.allocUnsafe(ENCODED_BYTES)
  bytes.writeDoubleBE(steadyMs, 0)
  bytes.writeDoubleBE(wallMs, ENCODED_BYTES / 2)
  return bytes
}

/** Decodes the payload of a ping; undefined if it is not a reading. */
export function decodeReading (bytes: Buffer): ClockReading | undefined {
  if (bytes.length !== ENCODED_BYTES) return undefined
  const reading = { steadyMs: bytes.readDoubleBE(0), wallMs: bytes.readDoubleBE(ENCODED_BYTES / 2) }
  return Number.isFinite(reading.steadyMs) && Number.isFinite(reading.wallMs) ? reading : undefined
}

/** The newest reading that a peer has sent of its clocks. */
export class PeerClock {
  private reading: ClockReading | undefined
  /** Time on the steady clock of this node at which the reading arrived. */
  private readAtMs = 0

  /** Stores a reading that has just arrived. */
  update (reading: ClockReading): void {
    this.reading = reading
    this.readAtMs = performance.now()
  }

  /**
   * Returns a moment on the peer's clocks.
   *
   * @param ms time from now. The peer reaches the moment at that time or earlier, by the time that the reading took to arrive
   * @returns the moment, or undefined if the peer has not sent its clocks
   */
  after (ms: number): ClockReading | undefined {
    if (this.reading === undefined) return undefined
    const sinceReadingMs = performance.now() - this.readAtMs + ms
    return { steadyMs: this.reading.steadyMs + sinceReadingMs, wallMs: this.reading.wallMs + sinceReadingMs }
  }
}
