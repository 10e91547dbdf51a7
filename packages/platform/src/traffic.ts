/**
 * Bytes that a client sends and receives.
 */
import type { Socket } from 'node:net'

/** Bytes on the wire above TCP. */
export interface Traffic {
  readonly sent: number
  readonly received: number
}

/** Nothing sent or received. */
export const NO_TRAFFIC: Traffic = { sent: 0, received: 0 }

/**
 * Sums two amounts.
 *
 * @param left one amount
 * @param right the other
 * @returns the sum
 */
export function addTraffic (left: Traffic, right: Traffic): Traffic {
  return { sent: left.sent + right.sent, received: left.received + right.received }
}

/** Sums the bytes of a client's connections, the closed ones too. */
export class Meter {
  private readonly open = new Set<Socket>()
  private sent = 0
  private received = 0

  /** Counts a connection from now on. */
  add (socket: Socket): void {
    this.open.add(socket)
    socket.once('close', () => this.settle(socket))
  }

  /** @returns the bytes so far */
  total (): Traffic {
    let { sent, received } = this
    for (const socket of this.open) {
      sent += socket.bytesWritten
      received += socket.bytesRead
    }
    return { sent, received }
  }

  private settle (socket: Socket): void {
    this.open.delete(socket)
    this.sent += socket.bytesWritten
    this.received += socket.bytesRead
  }
}
