/**
 * A connection that hands what it receives to the HTTP server in small parts, so that the server parses few requests more than may be
 * in progress, and in turns with other connections.
 */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'
import { PART_BYTES, type Turns } from './turns.js'

/** Maximum size of one read from a socket. After a smaller one, nothing more was there to read. */
const READ_BYTES = 65_536
/** Fills the buffer of a socket of `SOCKET_BUFFER_BYTES`. */
const FILLER = Buffer.alloc(1)

/** High-water mark of the sockets. Unlike larger ones, it lets a paused socket read nothing more. */
export const SOCKET_BUFFER_BYTES = FILLER.length

/** Dependencies and settings of a feed. */
export interface FeedOptions {
  readonly turns: Turns
  /** Time in milliseconds for which an ignored connection stays open after its last answer. */
  readonly lingerMs: number
  /** Bytes that the kernel may hold for a connection that is not read. */
  readonly kernelBytes: number
  /** Called with the number of bytes that wait, in the process and in the kernel, when it changes. */
  readonly onWaiting: (bytes: number) => void
}

/** Passes the data of a socket in both directions. */
export class Feed extends Duplex {
  /** Received data that was not handed on yet. */
  private rest: Buffer | undefined
  /** True if the last read may not have taken everything. */
  private moreToRead = false
  private waitingBytes = 0
  /** True if the next data is `FILLER`. */
  private filled = false
  private stopped = false
  /** The HTTP server takes no more data for now. */
  private full = false
  private feeding = false
  /** Nothing more is handed on. */
  private ignoring = false
  /** True once the client has sent everything. */
  private ended = false
  /** True once the HTTP server was told so. */
  private endHandedOn = false
  private released = false
  private readonly turn = (): number => this.takeTurn()
  private readonly listenersOfSocket: ReadonlyArray<readonly [event: string, listener: (data: Buffer) => void]> = [
    ['data', (data) => { this.receive(data) }],
    ['end', () => {
      this.ended = true
      this.settle()
    }],
    ['timeout', () => { this.emit('timeout') }],
    ['error', () => { this.destroy() }],
    ['close', () => { this.destroy() }]
  ]

  /** @param socket has a high-water mark of `SOCKET_BUFFER_BYTES` */
  constructor (private readonly socket: Socket, private readonly options: FeedOptions) {
    super({ decodeStrings: false })
    for (const [event, listener] of this.listenersOfSocket) socket.on(event, listener)
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
    this.stopped = true
    this.options.turns.remove(this.turn)
    this.settle()
  }

  /** Hands on data again, after the other connections had their turn. */
  goOn (): void {
    if (!this.stopped || this.ignoring) return
    this.stopped = false
    this.options.turns.wait(this.turn)
  }

  /** Reads nothing more, and drops what has been received. */
  ignore (): void {
    this.ignoring = true
    this.rest = undefined
    this.stop()
  }

  /**
   * Leaves the socket to another reader, which has to listen at once, and ends without closing it.
   *
   * @returns what was received and not handed on
   */
  release (): Buffer {
    const rest = this.rest ?? Buffer.alloc(0)
    this.released = true
    for (const [event, listener] of this.listenersOfSocket) this.socket.off(event, listener)
    this.destroy()
    if (this.filled) this.socket.read(FILLER.length)
    this.socket.resume()
    return rest
  }

  /** Emits 'timeout' once the connection has been idle for this time. The HTTP server calls it for connections that are kept alive. */
  setTimeout (ms: number): this {
    this.socket.setTimeout(ms)
    return this
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
    if (this.feeding) return
    if (this.rest === undefined) this.settle()
    else if (!this.stopped) this.options.turns.wait(this.turn)
  }

  override _write (chunk: Buffer | string, encoding: BufferEncoding, callback: () => void): void {
    this.socket.write(chunk, encoding, callback)
  }

  override _final (callback: () => void): void {
    this.socket.end(callback)
  }

  override _destroy (error: Error | null, callback: (error: Error | null) => void): void {
    this.rest = undefined
    this.options.turns.remove(this.turn)
    if (!this.released) this.socket.destroy()
    callback(error)
  }

  private close (): void {
    // Closing with data unread would reset the connection before the client has its answer.
    if (this.ignoring) setTimeout(() => { this.destroy() }, this.options.lingerMs).unref()
    else this.destroy()
  }

  private receive (data: Buffer): void {
    if (this.filled && data.length === FILLER.length) {
      this.filled = false
      return
    }
    if (this.ignoring) return
    this.rest = this.rest === undefined ? data : Buffer.concat([this.rest, data])
    this.moreToRead = data.length >= READ_BYTES
    if (!this.stopped && !this.full) this.options.turns.take(this.turn)
    this.settle()
  }

  /** Hands on one part. */
  private takeTurn (): number {
    const { rest } = this
    if (rest === undefined || this.stopped || this.full || this.destroyed) {
      this.settle()
      return 0
    }
    const isLast = rest.length <= PART_BYTES
    // A copy, since a part that the server keeps would keep all that was received with it.
    const part = isLast ? rest : Buffer.from(rest.subarray(0, PART_BYTES))
    this.rest = isLast ? undefined : rest.subarray(PART_BYTES)
    this.feeding = true
    // The server may ask for more while it takes this part.
    this.full = true
    if (this.push(part)) this.full = false
    this.feeding = false
    if (this.rest !== undefined && !this.stopped && !this.full) this.options.turns.wait(this.turn)
    this.settle()
    return part.length
  }

  /** Reads from the socket only if nothing waits, and reports what waits. */
  private settle (): void {
    if (this.feeding || this.destroyed) return
    if (this.rest === undefined && this.ended && !this.ignoring) this.handOnEnd()
    else if (this.rest === undefined && !this.stopped && !this.full) this.resumeReading()
    else this.pauseReading()
    const isUnread = (this.stopped && !this.ignoring) || (this.moreToRead && this.rest !== undefined)
    const waitingBytes = (this.rest?.length ?? 0) + (isUnread ? this.options.kernelBytes : 0)
    if (waitingBytes === this.waitingBytes) return
    this.waitingBytes = waitingBytes
    this.options.onWaiting(waitingBytes)
  }

  private handOnEnd (): void {
    if (this.endHandedOn) return
    this.endHandedOn = true
    this.push(null)
  }

  private resumeReading (): void {
    if (this.socket.isPaused()) this.socket.resume()
  }

  private pauseReading (): void {
    if (this.socket.isPaused() || this.ended) return
    this.socket.pause()
    if (this.filled) return
    // A paused socket reads on until its buffer is full.
    this.filled = true
    this.socket.unshift(FILLER)
  }
}
