/**
 * A connection that hands what it receives to the HTTP server in small parts, so that the server parses few requests more than may be
 * in progress.
 */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'

/** Size of the parts. An ordinary request has one part, or a few. */
const PART_BYTES = 2048

/** Passes the data of a socket in both directions. */
export class Feed extends Duplex {
  /** Received data that was not handed on yet. */
  private rest: Buffer | undefined
  private stopped = false
  /** The HTTP server takes no more data for now. */
  private full = false
  private feeding = false
  /** True once the client has sent everything. */
  private ended = false

  /** @param onRest called with the number of received bytes that wait, whenever the feed stops or goes on */
  constructor (private readonly socket: Socket, private readonly onRest: (bytes: number) => void) {
    super({ decodeStrings: false })
    socket.on('data', (data: Buffer) => {
      this.rest = data
      this.feed()
    })
    socket.once('end', () => {
      this.ended = true
      this.feed()
    })
    socket.once('error', () => { this.destroy() })
    socket.once('close', () => { this.destroy() })
  }

  /** Bytes of answers that have not left the process. */
  get unsentBytes (): number {
    return this.writableLength + this.socket.writableLength
  }

  /** Bytes of answers that have left the process. */
  get sentBytes (): number {
    return this.socket.bytesWritten - this.socket.writableLength
  }

  /** Hands on no more data. */
  stop (): void {
    if (this.stopped) return
    this.stopped = true
    if (!this.feeding) this.socket.pause()
  }

  /** Hands on data again, after the other connections had their turn. */
  goOn (): void {
    if (!this.stopped) return
    this.stopped = false
    setImmediate(() => {
      if (this.stopped) return
      this.onRest(0)
      this.feed()
    })
  }

  /** Closes the connection once everything has been written. The HTTP server calls it after the last answer. */
  destroySoon (): void {
    if (this.writableFinished) {
      this.destroy()
      return
    }
    this.once('finish', () => { this.destroy() })
    this.end()
  }

  override _read (): void {
    this.full = false
    this.feed()
  }

  override _write (chunk: Buffer | string, encoding: BufferEncoding, callback: () => void): void {
    this.socket.write(chunk, encoding, callback)
  }

  override _final (callback: () => void): void {
    this.socket.end(callback)
  }

  override _destroy (error: Error | null, callback: (error: Error | null) => void): void {
    this.rest = undefined
    this.socket.destroy()
    callback(error)
  }

  private feed (): void {
    if (this.feeding) return
    this.feeding = true
    while (!this.full && this.rest !== undefined && !this.stopped && !this.destroyed) {
      const { rest } = this
      this.rest = rest.length > PART_BYTES ? rest.subarray(PART_BYTES) : undefined
      // The server may ask for more while it takes this part.
      this.full = true
      if (this.push(rest.length > PART_BYTES ? rest.subarray(0, PART_BYTES) : rest)) this.full = false
    }
    this.feeding = false
    if (this.destroyed) return
    if (this.rest === undefined && this.ended) {
      this.push(null)
      return
    }
    if (this.rest === undefined && !this.stopped && !this.full) {
      if (this.socket.isPaused()) this.socket.resume()
      return
    }
    this.socket.pause()
    if (this.stopped) this.onRest(this.rest?.length ?? 0)
  }
}
