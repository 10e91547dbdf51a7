/**
 * A connection that hands what it receives to the HTTP server in small parts, so that the server parses few requests more than may be
 * in progress.
 */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'
import type { Turns } from './turns.js'

/** Size of the parts. An ordinary request has one part, or a few. */
const PART_BYTES = 2048
/** Parts that are handed on before the other connections have their turn. */
const PARTS_PER_TURN = 8

/** Passes the data of a socket in both directions. */
export class Inlet extends Duplex {
  /** Received data that was not handed on yet. */
  private rest: Buffer | undefined
  private held = false
  /** True while the other connections have their turn. */
  private yielding = false
  /** The HTTP server takes no more data for now. */
  private full = false
  private feeding = false
  /** True once the client has sent everything. */
  private ended = false
  private readonly goOn = (): void => {
    this.held = false
    this.yielding = false
    this.feed()
  }

  constructor (private readonly socket: Socket, private readonly turns: Turns) {
    super({ decodeStrings: false })
    socket.on('data', (data: Buffer) => {
      this.rest = data
      this.feed()
    })
    socket.once('end', () => {
      this.ended = true
      this.feed()
    })
    socket.on('timeout', () => { this.emit('timeout') })
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
  hold (): void {
    this.held = true
    this.yielding = false
    this.turns.remove(this.goOn)
    this.socket.pause()
  }

  /** Hands on data again, once its turn has come. Until then the HTTP server asks for more in vain. */
  release (): void {
    this.turns.add(this.goOn)
  }

  /** Emits 'timeout' once the connection has been idle for this time. The HTTP server calls it for connections that are kept alive. */
  setTimeout (ms: number): this {
    this.socket.setTimeout(ms)
    return this
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
    this.turns.remove(this.goOn)
    this.socket.destroy()
    callback(error)
  }

  private feed (): void {
    if (this.feeding || this.yielding) return
    this.feeding = true
    let parts = 0
    while (this.rest !== undefined && !this.full && !this.held && !this.destroyed) {
      if (parts++ === PARTS_PER_TURN) {
        this.yielding = true
        this.turns.add(this.goOn)
        break
      }
      const part: Buffer = this.rest.subarray(0, PART_BYTES)
      this.rest = part.length < this.rest.length ? this.rest.subarray(PART_BYTES) : undefined
      // The server may ask for more while it takes this part.
      this.full = true
      if (this.push(part)) this.full = false
    }
    this.feeding = false
    if (this.destroyed) return
    if (this.rest === undefined && this.ended) {
      this.push(null)
      return
    }
    if (this.rest === undefined && !this.full && !this.held) this.socket.resume()
    else this.socket.pause()
  }
}
