/**
 * A connection that hands what it receives to the HTTP server in small parts, so that the server parses few requests more than may be
 * in progress.
 */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'

/** Size of the parts. An ordinary request has one part, or a few. */
const PART_BYTES = 2048
/** Fills the buffer of any socket. */
const FILLER = Buffer.alloc(65_536)

/** Passes the data of a socket in both directions. */
export class Feed extends Duplex {
  /** Received data that was not handed on yet. */
  private rest: Buffer | undefined
  private stopped = false
  /** The HTTP server takes no more data for now. */
  private full = false
  private feeding = false
  /** Nothing more is handed on. */
  private ignoring = false
  /** True once the client has sent everything. */
  private ended = false

  /**
   * @param lingerMs time for which an ignored connection stays open after its last answer
   * @param onRest called with the number of received bytes that wait, whenever the feed stops or goes on
   */
  constructor (
    private readonly socket: Socket, private readonly lingerMs: number, private readonly onRest: (bytes: number) => void
  ) {
    super({ decodeStrings: false })
    socket.on('data', (data: Buffer) => {
      if (this.ignoring) return
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
    if (!this.stopped || this.ignoring) return
    this.stopped = false
    setImmediate(() => {
      if (this.stopped) return
      this.onRest(0)
      this.feed()
    })
  }

  /** Reads nothing more, and drops what has been received. */
  ignore (): void {
    this.ignoring = true
    this.rest = undefined
    this.stopped = true
    this.socket.pause()
    // A paused socket reads on until its buffer is full.
    if (!this.ended) this.socket.unshift(FILLER)
  }

  /** Closes the connection once everything has been written. The HTTP server calls it after the last answer. */
  destroySoon (): void {
    if (this.writableFinished) {
      this.close()
      return
    }
    this.once('finish', () => { this.close() })
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

  private close (): void {
    // Closing with data unread would reset the connection before the client has its answer.
    if (this.ignoring) setTimeout(() => { this.destroy() }, this.lingerMs).unref()
    else this.destroy()
  }

  private feed (): void {
    if (this.feeding) return
    this.feeding = true
    while (!this.full && this.rest !== undefined && !this.stopped && !this.destroyed) {
      const { rest } = this
      this.rest = rest.length > PART_BYTES ? rest.subarray(PART_BYTES) : undefined
      // The server may ask for more while it takes this part.
      this.full = true
      // A copy, since a part that the server keeps would keep all that was received with it.
      if (this.push(rest.length > PART_BYTES ? Buffer.from(rest.subarray(0, PART_BYTES)) : rest)) this.full = false
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
