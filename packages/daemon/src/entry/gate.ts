/**
 * Admission of connections and requests by the limits of the API. It makes no calls and sets no timers.
 *
 * A connection on which one request more arrives than it may have in progress is not read until one of them has ended. If a limit of
 * all connections is reached, room is made in this order:
 *
 * - for a connection, the one that has been idle longest is closed, then one that does not read its answers, then the one whose only
 *   request has been arriving for the longest time;
 * - for a request, connections that do not read their answers are closed, then the one that holds most by requests that are still
 *   arriving, unless that is the connection of the request itself.
 *
 * What then finds no room is refused. Only requests that are not handled yet are refused, so a refused request has not run.
 */
import { JsonShape } from '@fireflymount/entry/json-shape'
import type { EntryLimits } from './limits.js'

/** Why a connection or a request was refused or closed. */
export enum Cutoff {
  /** A connection was refused because all others are in use. */
  Connections = 'connections',
  /** The system did not hand a connection over, for example for lack of memory. */
  AcceptFailed = 'accept-failed',
  /** An idle connection was closed to make room for another one. */
  Idle = 'idle',
  /** A connection whose client does not read was closed to make room. */
  Unread = 'unread',
  /** A connection whose request had been arriving for the longest time was closed to make room. */
  Receiving = 'receiving',
  /** The connection that held most by requests that were still arriving was closed to make room. */
  Largest = 'largest',
  /** A request was refused, or its connection closed, because no room was left. */
  Memory = 'memory',
  HeadTooLarge = 'head-too-large',
  BodyTooLarge = 'body-too-large',
  SlowHead = 'slow-head',
  SlowBody = 'slow-body',
  /** A client read nothing of its answers for too long. */
  SlowReader = 'slow-reader',
  Malformed = 'malformed'
}

/** Estimated memory of a request without its body. */
export const REQUEST_BYTES = 8192
/** Estimated memory of a part of a body, without its content. */
const PART_BYTES = 128
/** Copies of a body that its handling makes: text, values and messages. */
const HANDLING_COPIES = 3
/** Maximum size of the received data that waits on a connection which is not read: a part of it was taken, and another one follows. */
const WAITING_BYTES = 131_072

type GateLimits = Pick<EntryLimits, 'connections' | 'requestsPerConnection' | 'progressBytes' | 'answerMs'>

/** A connection. The gate keeps its state in the fields. */
export abstract class Line {
  /** Requests in progress: arriving, handled or with an answer that has not been sent to the end. */
  requests = 0
  /** Requests that are handled at present. */
  handled = 0
  /** Bytes that closing the connection sets free. */
  freeable = 0
  /** Received bytes that wait for the connection's turn. */
  waitingBytes = 0
  held = false
  closed = false
  /** Bytes that the client had read, and since when the number has not changed while there was more to read. */
  readBytes = 0
  unreadSinceMs: number | undefined

  /** Stops reading from the client. */
  abstract hold (): void
  /** Reads from the client again. */
  abstract release (): void
  /** Closes the connection at once. */
  abstract close (): void
  /** Bytes of answers that are in the memory of the process because the client has not read them. */
  abstract unread (): number
  /** Bytes of answers that left the memory of the process. */
  abstract sent (): number
}

enum Stage {
  Arriving,
  Handled,
  Answered,
  Ended
}

/** A request, from its head until the end of its answer. */
export class Passage {
  bytes = 0
  bodyBytes = 0
  /** What the body consists of. */
  readonly shape = new JsonShape()
  stage = Stage.Arriving

  constructor (readonly line: Line) {}
}

/** Admits connections and requests. */
export class Gate {
  private readonly lines = new Set<Line>()
  /** Connections without requests, the one that has been idle longest first. */
  private readonly idle = new Set<Line>()
  /** Connections with a request that is arriving, the one that arrives for the longest time first. */
  private readonly arriving = new Set<Line>()
  private usedBytes = 0

  /** @param onCutoff called for each connection and request that is refused or closed */
  constructor (private readonly limits: GateLimits, private readonly onCutoff: (cutoff: Cutoff) => void) {}

  /** Number of open connections. */
  get connections (): number {
    return this.lines.size
  }

  /** Estimated memory in bytes of all requests in progress. */
  get bytes (): number {
    return this.usedBytes
  }

  /** Counts a connection or request that is refused or closed for another reason than the lack of room. */
  count (cutoff: Cutoff): void {
    this.onCutoff(cutoff)
  }

  /**
   * Admits a new connection.
   *
   * @returns false if it is refused
   */
  enter (line: Line): boolean {
    if (this.lines.size >= this.limits.connections && !this.makeRoomForConnection()) {
      this.onCutoff(Cutoff.Connections)
      return false
    }
    this.lines.add(line)
    this.idle.add(line)
    return true
  }

  /** Counts a connection as in use for as long as it is open. */
  occupy (line: Line): void {
    this.idle.delete(line)
  }

  /** Removes a closed connection. Its handled requests are counted until they have settled. */
  leave (line: Line): void {
    if (line.closed) return
    line.closed = true
    this.lines.delete(line)
    this.idle.delete(line)
    this.arriving.delete(line)
    this.usedBytes -= line.freeable
    line.freeable = 0
  }

  /**
   * Admits a request whose head has arrived.
   *
   * @returns false if it is refused as not run, or its connection was closed
   */
  begin (passage: Passage): boolean {
    const { line } = passage
    if (line.closed) return false
    line.requests++
    this.idle.delete(line)
    this.arriving.add(line)
    // Those before it have arrived, so they go on without what is not read.
    if (line.requests > this.limits.requestsPerConnection && !this.hold(line)) return false
    return this.reserve(passage, REQUEST_BYTES)
  }

  /** Counts received bytes that wait for the turn of a connection which is read. Closes the connection if there is no room for them. */
  keep (line: Line, bytes: number): void {
    if (line.closed || line.held) return
    const added = bytes - line.waitingBytes
    if (added > 0 && !this.makeRoom(line, added)) {
      this.cut(line, Cutoff.Memory)
      return
    }
    line.waitingBytes = bytes
    line.freeable += added
    this.usedBytes += added
  }

  /**
   * Counts a part of a request's body.
   *
   * @returns false if the request is refused as not run, or its connection was closed
   */
  receive (passage: Passage, partBytes: number): boolean {
    passage.bodyBytes += partBytes
    return !passage.line.closed && this.reserve(passage, partBytes + PART_BYTES)
  }

  /** Returns whether a request that has arrived could be handled if there were no other. */
  fits (passage: Passage): boolean {
    return passage.bytes + handlingBytesOf(passage) <= this.limits.progressBytes
  }

  /**
   * Admits a request that has arrived to its handling.
   *
   * @returns false if it is refused as not run, or its connection was closed
   */
  handle (passage: Passage): boolean {
    const { line } = passage
    if (line.closed || !this.reserve(passage, handlingBytesOf(passage))) return false
    this.arriving.delete(line)
    passage.stage = Stage.Handled
    line.handled++
    line.freeable -= passage.bytes
    return true
  }

  /**
   * Notes that a request was handled.
   *
   * @param answerBytes the part of its answer that was not sent yet
   */
  settle (passage: Passage, answerBytes: number): void {
    const { line } = passage
    line.handled--
    this.usedBytes -= passage.bytes
    if (line.closed || passage.stage === Stage.Ended) return
    passage.stage = Stage.Answered
    passage.bytes = REQUEST_BYTES + answerBytes
    this.usedBytes += passage.bytes
    line.freeable += passage.bytes
    this.makeRoom(undefined, 0)
  }

  /** Ends a request whose answer was sent to the end, or that was refused. */
  end (passage: Passage): void {
    const { line, stage } = passage
    if (line.closed || stage === Stage.Ended) return
    passage.stage = Stage.Ended
    if (stage !== Stage.Handled) {
      this.usedBytes -= passage.bytes
      line.freeable -= passage.bytes
    }
    if (stage === Stage.Arriving) this.arriving.delete(line)
    line.requests--
    if (line.requests === 0) this.idle.add(line)
    if (line.held && line.requests <= this.limits.requestsPerConnection) this.release(line)
  }

  /** Closes the connections whose clients have read nothing of their answers for too long. */
  sweep (nowMs: number): void {
    for (const line of this.lines) {
      const sent = line.sent()
      if (line.unread() === 0) {
        line.unreadSinceMs = undefined
      } else if (line.unreadSinceMs === undefined || sent !== line.readBytes) {
        line.unreadSinceMs = nowMs
      } else if (nowMs - line.unreadSinceMs >= this.limits.answerMs) {
        this.cut(line, Cutoff.SlowReader)
      }
      line.readBytes = sent
    }
  }

  /** Closes a connection for a reason that was counted. */
  close (line: Line): void {
    this.leave(line)
    line.close()
  }

  /** Stops reading from a connection. Closes it and returns false if there is no room for the data that waits then. */
  private hold (line: Line): boolean {
    if (line.held) return true
    if (!this.makeRoom(line, WAITING_BYTES)) {
      this.cut(line, Cutoff.Memory)
      return false
    }
    line.held = true
    line.freeable += WAITING_BYTES
    this.usedBytes += WAITING_BYTES
    line.hold()
    return true
  }

  private release (line: Line): void {
    line.held = false
    line.freeable -= WAITING_BYTES
    this.usedBytes -= WAITING_BYTES
    line.release()
  }

  /** Counts memory for a request that is not handled yet, and makes room for it if needed. */
  private reserve (passage: Passage, bytes: number): boolean {
    if (!this.makeRoom(passage.line, bytes)) {
      this.onCutoff(Cutoff.Memory)
      return false
    }
    this.usedBytes += bytes
    passage.bytes += bytes
    passage.line.freeable += bytes
    return true
  }

  /** Closes connections until there is room for more bytes of a connection, which itself stays open. */
  private makeRoom (line: Line | undefined, bytes: number): boolean {
    while (this.usedBytes + bytes > this.limits.progressBytes) {
      let unread: Line | undefined
      let largest = line
      for (const other of this.lines) {
        if (other === line || other.freeable === 0) continue
        if (other.unread() > 0 && other.freeable > (unread?.freeable ?? 0)) unread = other
        if (largest !== undefined && other.freeable > largest.freeable) largest = other
      }
      if (unread !== undefined) this.cut(unread, Cutoff.Unread)
      else if (largest !== undefined && largest !== line) this.cut(largest, Cutoff.Largest)
      else return false
    }
    return true
  }

  private makeRoomForConnection (): boolean {
    const [idle] = this.idle
    if (idle !== undefined) {
      this.cut(idle, Cutoff.Idle)
      return true
    }
    for (const line of this.lines) {
      if (line.unread() === 0) continue
      this.cut(line, Cutoff.Unread)
      return true
    }
    for (const line of this.arriving) {
      if (line.handled > 0) continue
      this.cut(line, Cutoff.Receiving)
      return true
    }
    return false
  }

  private cut (line: Line, cutoff: Cutoff): void {
    this.onCutoff(cutoff)
    this.close(line)
  }
}

/** Returns what the handling of a body takes beyond its parts. */
function handlingBytesOf ({ bodyBytes, shape }: Passage): number {
  return HANDLING_COPIES * bodyBytes + shape.valueBytes
}
