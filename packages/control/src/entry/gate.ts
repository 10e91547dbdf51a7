/**
 * Admission of connections and requests to a server, by its limits. It makes no calls and sets no timers.
 *
 * A connection with as many requests in progress as it may have is not read. If a limit of all connections is reached, room is made
 * in this order:
 *
 * - for a connection, the one that has been idle longest is closed, then one that does not read its answers and has no work in
 *   progress, then the one whose only request has been arriving for the longest time, then any that does not read;
 * - for a request, connections that do not read and have no work in progress are closed, then those that hold more than the request's
 *   own connection and have no request handled, then any that does not read, then any that holds more.
 *
 * A connection does not read once it has taken nothing of its answers for `stallMs`. What finds no room is refused. Only requests
 * that are not handled yet are refused, so a refused request has not run.
 *
 * While the gate drains, only idle connections are closed to make room.
 */
import type { EntryLimits } from './limits.js'

/** Why a connection or a request was refused or closed. */
export enum Cutoff {
  /** A connection was refused because all others are in use. */
  Connections = 'connections',
  /** An idle connection was closed to make room for another one. */
  Idle = 'idle',
  /** A connection whose client does not read was closed to make room. */
  Unread = 'unread',
  /** A connection whose request had been arriving for the longest time was closed to make room. */
  Receiving = 'receiving',
  /** The connection that held most by requests not handled yet was closed to make room. */
  Largest = 'largest',
  /** A request was refused because no room was left. */
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
const REQUEST_BYTES = 8192
/** Estimated memory of a part of a body, without its content. */
const PART_BYTES = 96
/** Copies of a body that its handling makes: text, values, and the records of the journal. */
const HANDLING_COPIES = 3
/** Part of the memory in use from which on each connection has one request handled at a time. */
const SHARED_FRACTION = 1 / 2

/** A connection. The gate keeps its state in the fields. */
export abstract class Line {
  /** Requests in progress: receiving, waiting and handled. */
  requests = 0
  /** Bytes that closing the connection sets free. */
  freeable = 0
  /** The request whose body is arriving. */
  receiving: Passage | undefined
  /** Complete requests that wait for those before them. */
  readonly waiting: Passage[] = []
  readonly handled = new Set<Passage>()
  /** Number of requests that are being handled, without those whose answer is being sent. */
  working = 0
  /** Received bytes that wait until the connection is read again. */
  waitingBytes = 0
  held = false
  closed = false
  /** Bytes that the client had read, and since when the number has not changed while there was more to read. */
  readBytes = 0
  unreadSinceMs: number | undefined

  /** Stops reading from the client. */
  abstract hold (): void
  /** Reads from the client again. */
  abstract resume (): void
  /** Closes the connection at once. `Gate.leave` is called for it. */
  abstract close (): void
  /** Bytes of answers that the client has not read yet, and that are in the memory of the process. */
  abstract unread (): number
  /** Bytes of answers that left the memory of the process. */
  abstract sent (): number
}

/** A request, from its head until the end of its answer. */
export class Passage {
  bytes = 0
  bodyBytes = 0
  /** True once the request was handled. */
  settled = false
  /** True once its answer was sent to the end. */
  answered = false

  /** @param handle starts the handling of the request */
  constructor (readonly line: Line, readonly handle: () => void) {}
}

/** Admits connections and requests. */
export class Gate {
  private readonly lines = new Set<Line>()
  /** Connections without requests, the one that has been idle longest first. */
  private readonly idle = new Set<Line>()
  /** Connections with a request that is arriving, the one that arrives for the longest time first. */
  private readonly receiving = new Set<Line>()
  /** Connections whose clients did not read, as of the last sweep. */
  private readonly stalled = new Set<Line>()
  private usedBytes = 0
  private openRequests = 0
  private draining = false

  /** @param onCutoff called for each connection and request that is refused or closed */
  constructor (readonly limits: EntryLimits, private readonly onCutoff: (cutoff: Cutoff) => void) {}

  /** Number of open connections. */
  get connections (): number {
    return this.lines.size
  }

  /** Estimated memory of all requests in progress. */
  get bytes (): number {
    return this.usedBytes
  }

  /** Number of requests whose answer has not been sent to the end. */
  get requests (): number {
    return this.openRequests
  }

  /** Closes no more connections that have requests. */
  drain (): void {
    this.draining = true
  }

  /** Counts a connection or request that its server refuses for another reason than the lack of room. */
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

  /** Removes a closed connection. Handled requests of it are counted until they have settled. */
  leave (line: Line): void {
    if (line.closed) return
    line.closed = true
    this.lines.delete(line)
    this.idle.delete(line)
    this.receiving.delete(line)
    this.stalled.delete(line)
    this.usedBytes -= line.freeable
    this.openRequests -= line.requests
    line.freeable = 0
    line.waiting.length = 0
  }

  /**
   * Admits a request whose head has arrived.
   *
   * @returns false if it is refused as not run
   */
  begin (passage: Passage): boolean {
    const { line } = passage
    if (line.closed) return false
    this.idle.delete(line)
    line.requests++
    this.openRequests++
    line.receiving = passage
    this.receiving.add(line)
    return this.reserve(passage, REQUEST_BYTES)
  }

  /** Counts received bytes that wait until the connection is read again. Closes the connection if there is no room for them. */
  keep (line: Line, bytes: number): void {
    if (line.closed) return
    const added = bytes - line.waitingBytes
    if (added > 0 && this.usedBytes + added > this.limits.bytes && !this.makeRoom(line, added)) {
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

  /**
   * Handles a request that has arrived, at once or after those before it on its connection.
   *
   * @returns false if the request is refused as not run, or its connection was closed
   */
  complete (passage: Passage): boolean {
    const { line } = passage
    if (line.closed || !this.reserve(passage, HANDLING_COPIES * passage.bodyBytes)) return false
    this.endReceiving(line)
    line.waiting.push(passage)
    this.handleNext(line)
    if (line.requests >= this.limits.requestsPerConnection) this.hold(line)
    return true
  }

  /** Ends a request that was refused, once its answer has been sent. */
  abandon (passage: Passage): void {
    const { line } = passage
    if (line.closed) return
    if (line.receiving === passage) this.endReceiving(line)
    this.free(passage)
    this.finish(line)
  }

  /** Notes that a request was handled. Its answer may still be unread. */
  settle (passage: Passage): void {
    passage.settled = true
    passage.line.working--
    if (passage.line.closed) {
      this.usedBytes -= passage.bytes
      return
    }
    passage.line.freeable += passage.bytes
    if (passage.answered) this.conclude(passage)
  }

  /** Notes that the answer of a handled request was sent to the end. */
  answer (passage: Passage): void {
    passage.answered = true
    if (passage.settled && !passage.line.closed) this.conclude(passage)
  }

  /** Notes which clients do not read, and closes the connections of those that have read nothing for too long. */
  sweep (nowMs: number): void {
    this.stalled.clear()
    for (const line of this.lines) {
      const sent = line.sent()
      if (line.unread() === 0) {
        line.unreadSinceMs = undefined
      } else if (line.unreadSinceMs === undefined || sent !== line.readBytes) {
        line.unreadSinceMs = nowMs
      } else if (nowMs - line.unreadSinceMs >= this.limits.answerMs && !this.draining) {
        this.cut(line, Cutoff.SlowReader)
      } else if (nowMs - line.unreadSinceMs >= this.limits.stallMs) {
        this.stalled.add(line)
      }
      line.readBytes = sent
    }
  }

  private endReceiving (line: Line): void {
    line.receiving = undefined
    this.receiving.delete(line)
  }

  private handleNext (line: Line): void {
    const parallel = this.usedBytes > this.limits.bytes * SHARED_FRACTION ? 1 : this.limits.requestsPerConnection
    while (line.handled.size < parallel) {
      const passage = line.waiting.shift()
      if (passage === undefined) return
      line.handled.add(passage)
      line.working++
      line.freeable -= passage.bytes
      passage.handle()
    }
  }

  private conclude (passage: Passage): void {
    passage.line.handled.delete(passage)
    this.free(passage)
    this.finish(passage.line)
  }

  /** Takes a finished request off its connection, which may go on with the next one. */
  private finish (line: Line): void {
    line.requests--
    this.openRequests--
    if (line.waiting.length > 0) this.handleNext(line)
    if (line.requests === 0) this.idle.add(line)
    if (line.held && line.requests < this.limits.requestsPerConnection) {
      line.held = false
      line.resume()
    }
  }

  private hold (line: Line): void {
    if (line.held || line.closed) return
    line.held = true
    line.hold()
  }

  /** Counts memory for a request that is not handled yet, and makes room for it if needed. */
  private reserve (passage: Passage, bytes: number): boolean {
    if (this.usedBytes + bytes > this.limits.bytes && !this.makeRoom(passage.line, bytes)) {
      this.onCutoff(Cutoff.Memory)
      return false
    }
    this.usedBytes += bytes
    passage.bytes += bytes
    passage.line.freeable += bytes
    return true
  }

  private free (passage: Passage): void {
    this.usedBytes -= passage.bytes
    passage.line.freeable -= passage.bytes
    passage.bytes = 0
  }

  private makeRoom (line: Line, bytes: number): boolean {
    while (this.usedBytes + bytes > this.limits.bytes) {
      if (this.draining) return false
      const reader = this.stalledLine(false, line)
      const larger = this.largerThan(line, false)
      if (reader !== undefined) this.cut(reader, Cutoff.Unread)
      else if (larger !== undefined) this.cut(larger, Cutoff.Largest)
      else if (!this.cutBusy(line)) return false
    }
    return true
  }

  /** Makes room at the expense of requests that are being handled. Returns false if it cannot. */
  private cutBusy (line: Line): boolean {
    const reader = this.stalledLine(true, line)
    const larger = this.largerThan(line, true)
    if (reader !== undefined) this.cut(reader, Cutoff.Unread)
    else if (larger !== undefined) this.cut(larger, Cutoff.Largest)
    return reader !== undefined || larger !== undefined
  }

  private makeRoomForConnection (): boolean {
    const [idle] = this.idle
    if (idle !== undefined) {
      this.cut(idle, Cutoff.Idle)
      return true
    }
    if (this.draining) return false
    const reader = this.stalledLine(false)
    if (reader !== undefined) {
      this.cut(reader, Cutoff.Unread)
      return true
    }
    for (const line of this.receiving) {
      if (line.handled.size > 0 || line.waiting.length > 0) continue
      this.cut(line, Cutoff.Receiving)
      return true
    }
    const busyReader = this.stalledLine(true)
    if (busyReader === undefined) return false
    this.cut(busyReader, Cutoff.Unread)
    return true
  }

  /** Returns a connection whose client does not read, with or without work in progress; for a request, another one that holds memory. */
  private stalledLine (working: boolean, requester?: Line): Line | undefined {
    for (const line of this.stalled) {
      if ((line.working > 0) !== working || line.unread() === 0 || line.sent() !== line.readBytes) continue
      if (requester === undefined || (line !== requester && line.freeable > 0)) return line
    }
    return undefined
  }

  /** Returns the connection that holds most, with or without requests that are handled, if it holds more than the given one. */
  private largerThan (line: Line, busy: boolean): Line | undefined {
    let largest = line
    for (const other of this.lines) {
      if ((other.handled.size > 0) === busy && other.freeable > largest.freeable) largest = other
    }
    return largest === line ? undefined : largest
  }

  private cut (line: Line, cutoff: Cutoff): void {
    this.onCutoff(cutoff)
    this.leave(line)
    line.close()
  }
}
