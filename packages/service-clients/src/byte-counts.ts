/**
 * Counts the bytes that a client sends and receives.
 */
import type { Socket } from 'node:net'

/** Bytes of the TCP streams, without TCP and IP headers. */
export interface ByteCounts {
  readonly sent: number
  readonly received: number
}

/** Nothing sent or received. */
export const NO_BYTES: ByteCounts = { sent: 0, received: 0 }

/**
 * Adds two amounts.
 *
 * @param left one amount
 * @param right the other
 * @returns the sum
 */
export function addByteCounts (left: ByteCounts, right: ByteCounts): ByteCounts {
  return { sent: left.sent + right.sent, received: left.received + right.received }
}

/** Sums the bytes of a client's connections, open and closed. */
export class Meter {
  private readonly openSockets = new Set<Socket>()
  private sent = 0
  private received = 0

  /** Adds a new connection. */
  add (socket: Socket): void {
    this.openSockets.add(socket)
    socket.once('close', () => this.addClosed(socket))
  }

  /** @returns the bytes so far */
  total (): ByteCounts {
    let { sent, received } = this
    for (const socket of this.openSockets) {
      sent += socket.bytesWritten
      received += socket.bytesRead
    }
    return { sent, received }
  }

  private addClosed (socket: Socket): void {
    this.openSockets.delete(socket)
    this.sent += socket.bytesWritten
    this.received += socket.bytesRead
  }
}
