/**
 * Counts what a client sends before it has introduced itself as a node. The WebSocket library buffers a frame until it has arrived, so
 * many clients with frames of the largest size would otherwise exhaust the memory.
 */
import type { Duplex } from 'node:stream'

/** Maximum size of what is received before. A node's hello frame may begin in one read and be followed by other frames in the next. */
export const MAX_INTRODUCTION_BYTES = 131_072

/** The beginning of a connection that a client has upgraded. */
export class Introduction {
  private receivedBytes = 0
  private readonly onData = (data: Buffer): void => {
    this.receivedBytes += data.length
    this.onReceived(this.receivedBytes)
  }

  /** @param onReceived called with the number of bytes received so far */
  constructor (private readonly stream: Duplex, private readonly onReceived: (bytes: number) => void) {
    stream.on('data', this.onData)
  }

  /** Counts no more, because the client has introduced itself. */
  end (): void {
    this.stream.off('data', this.onData)
  }
}
