/**
 * Passes the connections and requests of an HTTP server through a gate, which holds its clients to the limits.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { Blocks, Body } from '@fireflymount/entry/body'
import { Feed } from '@fireflymount/entry/feed'
import { Turns } from '@fireflymount/entry/turns'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { createTooLarge, createTooManyValues } from './body.js'
import { cutoffOf, describeCutoff, endWith, isTimeout } from './client-error.js'
import { Cutoff, Line, Passage, type Gate } from './gate.js'
import { createProblem, createProblemHeaders, type Problem } from './problem.js'

const RETRY_AFTER_MS = 1000
/** Refused connections that are being answered. Beyond them, connections are closed without an answer. */
const MAX_REFUSALS = 16

/** Handles a request whose body has arrived and is in `rawBody`. A body that is declared larger than its limit is left unread. */
export type RequestListener = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** The gate's view of a connection. */
class FeedLine extends Line {
  readonly feed: Feed
  /** True if the rest of a refused request's body is discarded. */
  discarding = false
  /** True after an error of the client, such as malformed HTTP. */
  failed = false
  /** True while the body of a request arrives. */
  receiving = false

  constructor (socket: Socket, turns: Turns, gate: Gate) {
    super()
    this.feed = new Feed(socket, { turns, lingerMs: 0, kernelBytes: 0, onWaiting: (bytes) => { gate.keep(this, bytes) } })
  }

  override hold (): void {
    this.feed.stop()
  }

  override release (): void {
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

/** Connects a server with a gate. */
export class GatedServer {
  private readonly lines = new Map<Duplex, FeedLine>()
  private readonly turns = new Turns()
  private readonly blocks = new Blocks()
  private refusals = 0

  /** @param maxBodyBytes returns the maximum size of the body of a request to a path */
  constructor (
    private readonly gate: Gate,
    private readonly maxBodyBytes: (path: string) => number,
    private readonly listener: RequestListener
  ) {}

  /** Takes over the connections and requests of a server that has no listeners of its own yet. */
  attach (server: Server): void {
    const [serve] = server.listeners('connection')
    server.removeAllListeners('connection')
    server.on('connection', (socket) => {
      this.turns.accept()
      const line = new FeedLine(socket, this.turns, this.gate)
      if (this.enter(line, socket)) serve!.call(server, line.feed)
    })
    server.on('request', (request, response) => { this.onRequest(request, response) })
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => { this.onClientError(error, socket) })
    server.once('listening', () => { server.on('error', () => { this.gate.count(Cutoff.AcceptFailed) }) })
  }

  /** Drops memory that was kept since a peak. To be called at regular intervals. */
  trim (): void {
    this.blocks.trim()
  }

  private enter (line: FeedLine, socket: Socket): boolean {
    const { feed } = line
    if (!this.gate.enter(line)) {
      this.refuseConnection(feed, socket)
      return false
    }
    this.lines.set(feed, line)
    feed.once('close', () => {
      this.lines.delete(feed)
      this.gate.leave(line)
    })
    return true
  }

  private refuseConnection (feed: Feed, socket: Socket): void {
    feed.on('error', () => {})
    if (this.refusals >= MAX_REFUSALS) {
      feed.destroy()
      return
    }
    this.refusals++
    socket.once('close', () => { this.refusals-- })
    endWith(feed, createOverloaded('This node has as many connections as it may have.'))
  }

  private onRequest (request: IncomingMessage, response: ServerResponse): void {
    const line = this.lines.get(request.socket)
    // Requests that arrived in one part with the one for which the connection was closed.
    if (line === undefined || line.closed) return
    const passage = new Passage(line)
    response.once('close', () => { this.gate.end(passage) })
    if (!this.gate.begin(passage)) {
      this.refuseForMemory(line, request, response)
      return
    }
    const length = Number(request.headers['content-length'] ?? 0)
    const maxBytes = this.maxBodyBytes(request.url ?? '')
    if (length > maxBytes) {
      this.gate.count(Cutoff.BodyTooLarge)
      this.handle(passage, request, response)
    } else if (length === 0 && request.headers['transfer-encoding'] === undefined) {
      this.handle(passage, request, response)
    } else {
      this.receive(passage, request, response, maxBytes)
    }
  }

  private receive (passage: Passage, request: IncomingMessage, response: ServerResponse, maxBytes: number): void {
    const line = passage.line as FeedLine
    const body = new Body(this.blocks)
    let refused = false
    line.receiving = true
    request.on('data', (part: Buffer) => {
      if (refused) return
      if (passage.bodyBytes + part.length > maxBytes) {
        refused = true
        this.gate.count(Cutoff.BodyTooLarge)
        this.refuse(line, request, response, createTooLarge(maxBytes))
      } else if (this.gate.receive(passage, part.length)) {
        body.append(part)
        passage.shape.add(part)
      } else {
        refused = true
        this.refuseForMemory(line, request, response)
      }
      if (refused) body.release()
    })
    request.once('end', () => {
      line.receiving = false
      if (refused) return
      const content = body.finish()
      if (this.gate.fits(passage)) {
        this.handle(passage, request, response, content)
        return
      }
      this.gate.count(Cutoff.BodyTooLarge)
      this.refuse(line, request, response, createTooManyValues())
    })
    request.once('close', () => { if (!request.complete) body.release() })
  }

  private handle (passage: Passage, request: IncomingMessage, response: ServerResponse, body?: Buffer): void {
    if (!this.gate.handle(passage)) {
      this.refuseForMemory(passage.line as FeedLine, request, response)
      return
    }
    if (body !== undefined) Object.assign(request, { rawBody: body })
    const settle = (): void => { this.gate.settle(passage, response.writableLength) }
    this.listener(request, response).then(settle, settle)
  }

  private refuseForMemory (line: FeedLine, request: IncomingMessage, response: ServerResponse): void {
    this.refuse(line, request, response, createOverloaded('This node has no memory left for further requests.'))
  }

  /** Answers a request that has not been handled, and discards the rest of its body up to the size that a body may have. */
  private refuse (line: FeedLine, request: IncomingMessage, response: ServerResponse, problem: Problem): void {
    if (line.closed) return
    // Answers go out in the order of the requests, so this one would wait in memory.
    if (line.requests > 1) {
      this.gate.close(line)
      return
    }
    response.writeHead(problem.status, createProblemHeaders(problem)).end(JSON.stringify(problem))
    line.discarding = !request.complete
    const maxBytes = this.maxBodyBytes(request.url ?? '')
    let discarded = 0
    request.on('data', (part: Buffer) => {
      discarded += part.length
      if (discarded > maxBytes) this.gate.close(line)
    })
    request.once('end', () => { line.discarding = false })
  }

  private onClientError (error: NodeJS.ErrnoException, socket: Duplex): void {
    const line = this.lines.get(socket)
    // What follows a malformed part is malformed too, and the rest of a request waits while its connection is not read.
    if (line?.failed === true || (line?.held === true && isTimeout(error))) return
    // A client whose body is discarded has been counted and answered.
    const cutoff = line === undefined || line.discarding ? undefined : cutoffOf(error, line.receiving)
    if (line === undefined || cutoff === undefined) {
      socket.destroy()
      return
    }
    this.gate.count(cutoff)
    line.failed = true
    line.hold()
    const unanswered = line.requests === 0 || (line.requests === 1 && line.receiving)
    if (unanswered) endWith(socket, describeCutoff(cutoff))
    else socket.destroy()
  }
}

function createOverloaded (detail: string): Problem {
  return createProblem(refuse(Reason.Overloaded, `${detail} Try another node or retry later.`, RETRY_AFTER_MS))
}
