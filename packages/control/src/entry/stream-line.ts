/**
 * The gate's view of the connections of an HTTP server.
 */
import type { Socket } from 'node:net'
import { Feed } from '@fireflymount/entry/feed'
import type { Introduction } from '@fireflymount/entry/introduction'
import type { Turns } from '@fireflymount/entry/turns'
import type { Gate } from './gate.js'
import { Line } from './line.js'

/** A connection that is passed on as it is. */
export class StreamLine extends Line {
  /** True if the rest of a refused request's body is discarded. */
  discarding = false
  /** True after an error of the client, such as malformed HTTP. */
  failed = false
  /** True if the connection can be held while a request is in progress. */
  readonly holdable: boolean = false
  /** What the client of an upgraded connection sends until it is admitted. */
  introduction: Introduction | undefined

  constructor (readonly socket: Socket) {
    super()
  }

  /** Drops what the client sends from now on. */
  ignore (): void {}

  override hold (): void {}

  override resume (): void {}

  override close (): void {
    this.socket.destroy()
  }

  override unread (): number {
    return this.socket.writableLength
  }

  override sent (): number {
    return this.socket.bytesWritten - this.socket.writableLength
  }
}

/** A connection that can be held. */
export class FeedLine extends StreamLine {
  override readonly holdable = true
  readonly feed: Feed

  constructor (socket: Socket, gate: Gate, turns: Turns) {
    super(socket)
    const { lingerMs, receiveBufferBytes: kernelBytes } = gate.limits
    this.feed = new Feed(socket, { turns, lingerMs, kernelBytes, onWaiting: (bytes) => { gate.keep(this, bytes) } })
  }

  override ignore (): void {
    this.feed.ignore()
  }

  override hold (): void {
    this.feed.stop()
  }

  override resume (): void {
    this.feed.goOn()
  }

  override close (): void {
    this.feed.destroy()
  }

  override unread (): number {
    return this.feed.unsentBytes
  }

  override sent (): number {
    return this.feed.sentBytes
  }
}
