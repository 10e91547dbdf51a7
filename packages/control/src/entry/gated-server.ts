/**
 * Passes the connections and requests of an HTTP server through a gate, which holds its clients to the limits.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { Body, type Blocks } from '@fireflymount/entry/body'
import { MAX_INTRODUCTION_BYTES } from '@fireflymount/entry/introduction'
import { Turns } from '@fireflymount/entry/turns'
import { describeError, type Log } from '../report/log.js'
import { cutoffOf, endWith } from './client-error.js'
import { Cutoff } from './cutoff.js'
import type { Gate } from './gate.js'
import { Passage, type Line } from './line.js'
import { FeedLine, UpgradedLine } from './stream-line.js'

/** Handles a request whose body has arrived. A promise resolves once the request was handled. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, body: Buffer) => unknown

/**
 * Takes a connection that its client asks to upgrade. It has to listen at once.
 *
 * @param head what the client has sent after the request
 */
export type UpgradeHandler = (request: IncomingMessage, socket: Socket, head: Buffer) => void

/** Connects a server with a gate. */
export class GatedServer {
  private readonly lines = new Map<Duplex, FeedLine>()
  private readonly upgraded = new Map<Socket, UpgradedLine>()

  constructor (
    private readonly gate: Gate,
    private readonly blocks: Blocks,
    private readonly handler: RequestHandler,
    private readonly log: Log
  ) {}

  /** Takes over the requests of a server that has no listeners of its own yet. */
  attach (server: Server): void {
    server.on('request', (request, response) => { this.onRequest(request, response) })
    server.on('checkExpectation', (request, response) => { this.onRequest(request, response) })
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => { this.onClientError(error, socket) })
    server.once('listening', () => { server.on('error', () => { this.gate.count(Cutoff.AcceptFailed) }) })
  }

  /** Passes connections through feeds, which hold those with as many requests in progress as they may have. */
  feed (server: Server): void {
    const turns = new Turns()
    const [serve] = server.listeners('connection')
    server.removeAllListeners('connection')
    server.on('connection', (socket) => {
      turns.accept()
      const line = new FeedLine(socket, this.gate, turns)
      if (this.enter(line)) serve!.call(server, line.feed)
    })
  }

  /** Passes upgraded connections on. Until one is admitted, its client may send an introduction. */
  acceptUpgrades (server: Server, onUpgrade: UpgradeHandler): void {
    server.on('upgrade', (request: IncomingMessage, stream: Duplex, head: Buffer) => {
      const line = this.lines.get(stream)
      if (line === undefined) return
      const rest = line.feed.release()
      this.gate.leave(line)
      const { socket } = line
      const upgraded = new UpgradedLine(socket, (sender, bytes) => { this.onIntroduction(sender, bytes) })
      this.gate.enter(upgraded)
      this.upgraded.set(socket, upgraded)
      socket.once('close', () => {
        this.upgraded.delete(socket)
        this.gate.leave(upgraded)
      })
      onUpgrade(request, socket, Buffer.concat([head, rest]))
    })
  }

  /** Counts an upgraded connection as in use for as long as it is open. */
  admit (socket: Socket): void {
    const line = this.upgraded.get(socket)
    if (line === undefined) return
    line.introduction.end()
    this.gate.keep(line, 0)
    this.gate.occupy(line)
  }

  private onIntroduction (line: UpgradedLine, bytes: number): void {
    if (bytes <= MAX_INTRODUCTION_BYTES) {
      this.gate.keep(line, bytes)
      return
    }
    this.gate.count(Cutoff.BodyTooLarge)
    this.close(line)
  }

  private enter (line: FeedLine): boolean {
    const { feed, socket } = line
    if (!this.gate.enter(line)) {
      endWith(socket, Cutoff.Connections, `Retry-After: ${this.gate.limits.retryAfterS}\r\n`)
      return false
    }
    this.lines.set(feed, line)
    feed.once('close', () => {
      this.lines.delete(feed)
      this.gate.leave(line)
    })
    return true
  }

  private onRequest (request: IncomingMessage, response: ServerResponse): void {
    const line = this.lines.get(request.socket)
    // Requests that arrived in one part with the one for which the connection was closed.
    if (line === undefined || line.closed) return
    const { gate } = this
    const body = new Body(this.blocks)
    let content: Buffer
    const declared = request.headers['content-length']
    const length = declared === undefined ? undefined : Number(declared)
    const passage = new Passage(line, length, () => { this.handle(passage, request, response, content) })
    const complete = (): void => {
      content = body.finish()
      if (!gate.fits(passage)) {
        gate.count(Cutoff.BodyTooLarge)
        refuse(413)
      } else if (!gate.complete(passage)) {
        refuse(503)
      }
    }
    let refused = false
    const refuse = (status: number): void => {
      refused = true
      body.release()
      this.refuse(passage, request, response, status)
    }
    if (!gate.begin(passage)) {
      refuse(503)
      return
    }
    if (length !== undefined && length > gate.limits.bodyBytes) {
      gate.count(Cutoff.BodyTooLarge)
      refuse(413)
      return
    }
    if ((length ?? 0) === 0 && request.headers['transfer-encoding'] === undefined) {
      complete()
      return
    }
    request.on('data', (part: Buffer) => {
      if (refused) return
      if (passage.bodyBytes + part.length > gate.limits.bodyBytes) {
        gate.count(Cutoff.BodyTooLarge)
        refuse(413)
      } else if (gate.receive(passage, part.length)) {
        body.append(part)
        passage.shape.add(part)
      } else {
        refuse(503)
      }
    })
    request.once('end', () => { if (!refused) complete() })
    request.once('close', () => { if (!request.complete) body.release() })
  }

  private handle (passage: Passage, request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const { gate } = this
    response.once('close', () => { gate.answer(passage) })
    let handled: unknown
    try {
      handled = this.handler(request, response, body)
    } catch (error) {
      handled = Promise.reject(error)
    }
    if (!(handled instanceof Promise)) {
      gate.settle(passage)
      return
    }
    handled.then(() => { gate.settle(passage) }, (error: unknown) => {
      gate.settle(passage)
      this.log.event('request failed unexpectedly', { method: request.method, path: request.url, error: describeError(error) })
      request.socket.destroy()
    })
  }

  /** Answers a request that has not been handled. The rest of its body is discarded if it is short; else the connection is closed. */
  private refuse (passage: Passage, request: IncomingMessage, response: ServerResponse, status: number): void {
    const line = passage.line as FeedLine
    if (line.closed) return
    // Answers go out in the order of the requests, so this one would wait in memory.
    if (line.requests > 1) {
      this.close(line)
      return
    }
    response.once('close', () => { this.gate.abandon(passage) })
    if (status === 503) response.setHeader('retry-after', this.gate.limits.retryAfterS)
    response.statusCode = status
    line.discarding = !request.complete
    request.once('end', () => { line.discarding = false })
    const restBytes = (passage.declaredBytes ?? Infinity) - passage.bodyBytes
    const closing = line.discarding && restBytes > this.gate.limits.discardBytes
    if (closing) response.setHeader('connection', 'close')
    response.end()
    if (!closing) return
    line.ignore()
    this.gate.linger(line)
  }

  private close (line: Line): void {
    this.gate.leave(line)
    line.close()
  }

  private onClientError (error: NodeJS.ErrnoException, socket: Duplex): void {
    const line = this.lines.get(socket)
    // What follows a malformed part is malformed too.
    if (line?.failed === true) return
    // A client whose body is discarded has been counted and answered.
    const cutoff = line === undefined || line.discarding ? undefined : cutoffOf(error, line)
    if (line === undefined || cutoff === undefined) {
      socket.destroy()
      return
    }
    this.gate.count(cutoff)
    line.failed = true
    line.hold()
    const unanswered = line.requests === 0 || (line.requests === 1 && line.receiving !== undefined)
    if (unanswered) endWith(socket, cutoff)
    else socket.destroy()
  }
}
