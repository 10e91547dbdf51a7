/**
 * The gate's view of the connections of an HTTP server.
 */
import type { Socket } from 'node:net'
import { Feed } from '@fireflymount/entry/feed'
import { Introduction } from '@fireflymount/entry/introduction'
import type { Turns } from '@fireflymount/entry/turns'
import type { Gate } from './gate.js'
import { Line } from './line.js'

/** A connection with requests. */
export class FeedLine extends Line {
  /** True if the rest of a refused request's body is discarded. */
  discarding = false
  /** True after an error of the client, such as malformed HTTP. */
  failed = false
  readonly feed: Feed

  constructor (readonly socket: Socket, gate: Gate, turns: Turns) {
    super()
    const { lingerMs, receiveBufferBytes: kernelBytes } = gate.limits
    this.feed = new Feed(socket, { turns, lingerMs, kernelBytes, onWaiting: (bytes) => { gate.keep(this, bytes) } })
  }

  /** Drops what the client sends from now on. */
  ignore (): void {
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

/** A connection that its client has upgraded. */
export class UpgradedLine extends Line {
  /** What the client sends until it is admitted. */
  readonly introduction: Introduction

  /** @param onIntroduction called with the number of bytes that the client has sent before it is admitted */
  constructor (private readonly socket: Socket, onIntroduction: (line: UpgradedLine, bytes: number) => void) {
    super()
    this.introduction = new Introduction(socket, (bytes) => { onIntroduction(this, bytes) })
  }

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
