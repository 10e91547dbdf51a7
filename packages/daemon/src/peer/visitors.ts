/**
 * Holds the connections that others open to this node to limits. Those that have not introduced themselves as nodes are closed first,
 * the one that has been open longest before the others.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { Introduction, MAX_INTRODUCTION_BYTES } from '@fireflymount/entry/introduction'
import type { Logger } from 'pino'
import { cutoffOf, describeCutoff, endWith } from '../entry/client-error.js'
import { CutoffReport } from '../entry/cutoff-report.js'
import { Cutoff, Gate, Line } from '../entry/gate.js'
import { connectionsOfNodes } from '../entry/limits.js'
import { readMachine } from '../entry/machine.js'
import type { Metrics } from '../metrics.js'

/** Part of the memory that frames which a node has not read may fill before its connection is closed. */
const UNREAD_MEMORY = 1 / 4
/** Longest time for which a node reads nothing. */
const ANSWER_MS = 30_000
const REPORT_INTERVAL_MS = 1000

/** The gate's view of a connection. */
class SocketLine extends Line {
  /** What the client sends until it is admitted. */
  introduction: Introduction | undefined

  constructor (private readonly socket: Socket) {
    super()
  }

  override hold (): void {}

  override release (): void {}

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

/** The connections that were opened by others. */
export class Visitors {
  private readonly lines = new Map<Socket, SocketLine>()
  private readonly gate: Gate
  private readonly cutoffs: CutoffReport
  private readonly maxUnreadBytes: number
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly metrics: Metrics, logger: Pick<Logger, 'warn'>) {
    const machine = readMachine()
    this.maxUnreadBytes = machine.memoryBytes * UNREAD_MEMORY
    this.cutoffs = new CutoffReport('peer', metrics, logger)
    const limits = { connections: connectionsOfNodes(machine), requestsPerConnection: 1, progressBytes: 0, answerMs: ANSWER_MS }
    this.gate = new Gate(limits, (cutoff) => { this.cutoffs.count(cutoff) })
  }

  /** Holds the connections of a server to the limits. */
  attach (server: Server): void {
    server.on('connection', (socket) => { this.enter(socket) })
    server.on('clientError', (error, socket) => { this.onClientError(error, socket) })
    server.once('listening', () => { server.on('error', () => { this.cutoffs.count(Cutoff.AcceptFailed) }) })
    this.timer = setInterval(() => { this.check() }, REPORT_INTERVAL_MS)
  }

  /** Holds a client that has opened a WebSocket to what an introduction needs, until it is admitted. */
  watch (socket: Socket): void {
    const line = this.lines.get(socket)
    if (line === undefined) return
    line.introduction = new Introduction(socket, (bytes) => {
      if (bytes > MAX_INTRODUCTION_BYTES) this.cut(line, Cutoff.BodyTooLarge)
    })
  }

  /** Notes that a client has introduced itself as a node. */
  admit (socket: Socket): void {
    const line = this.lines.get(socket)
    if (line === undefined) return
    line.introduction?.end()
    this.gate.occupy(line)
  }

  /** Ends the checks. */
  close (): void {
    clearInterval(this.timer)
  }

  private enter (socket: Socket): void {
    const line = new SocketLine(socket)
    if (!this.gate.enter(line)) {
      socket.destroy()
      return
    }
    this.lines.set(socket, line)
    socket.once('close', () => {
      this.lines.delete(socket)
      this.gate.leave(line)
    })
  }

  private onClientError (error: NodeJS.ErrnoException, socket: Duplex): void {
    const cutoff = cutoffOf(error, false)
    if (cutoff === undefined) {
      socket.destroy()
      return
    }
    this.cutoffs.count(cutoff)
    endWith(socket, describeCutoff(cutoff))
  }

  private check (): void {
    this.gate.sweep(performance.now())
    for (const line of this.lines.values()) {
      if (line.unread() > this.maxUnreadBytes) this.cut(line, Cutoff.Unread)
    }
    this.metrics.gauge('peer.connections', this.gate.connections)
    this.cutoffs.report()
  }

  private cut (line: SocketLine, cutoff: Cutoff): void {
    this.cutoffs.count(cutoff)
    this.gate.close(line)
  }
}
