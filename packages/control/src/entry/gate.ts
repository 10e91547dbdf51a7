/**
 * Admission of connections and requests to a server, by its limits. It makes no calls and sets no timers.
 *
 * A connection with as many requests in progress as it may have is not read. If a limit of all connections is reached, room is made
 * by closing others, see `Eviction`. What finds no room is refused. Only requests that are not handled yet are refused, so a refused
 * request has not run.
 */
import { BLOCK_BYTES } from '@fireflymount/entry/body'
import { Cutoff } from './cutoff.js'
import { Eviction, type Evicted } from './eviction.js'
import type { EntryLimits } from './limits.js'
import type { Line, Passage } from './line.js'

/** Estimated memory of a request without its body. */
const REQUEST_BYTES = 8192
/** Copies of a body that is being handled: bytes, text, values, and the records of the journal. */
const HANDLING_COPIES = 4
/** Part of the memory in use from which on each connection has one request handled at a time. */
const SHARED_FRACTION = 1 / 2
/** Part of the limit on memory that the kernel may hold in addition for connections that are not read any more. */
const LINGERING_FRACTION = 1 / 4

/** Admits connections and requests. */
export class Gate {
  private readonly lines = new Set<Line>()
  private readonly eviction: Eviction
  private usedBytes = 0
  /** Bytes that wait on all connections. */
  private waitingBytes = 0
  private openRequests = 0

  /** @param onCutoff called for each connection and request that is refused or closed */
  constructor (readonly limits: EntryLimits, private readonly onCutoff: (cutoff: Cutoff) => void) {
    this.eviction = new Eviction(limits.stallMs)
  }

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
    this.eviction.idleOnly = true
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
    if (this.lines.size >= this.limits.connections && !this.evict(this.eviction.forConnection())) {
      this.onCutoff(Cutoff.Connections)
      return false
    }
    this.lines.add(line)
    this.eviction.update(line)
    return true
  }

  /** Counts a connection as in use for as long as it is open. */
  occupy (line: Line): void {
    line.occupied = true
    this.eviction.update(line)
  }

  /** Removes a closed connection. Handled requests of it are counted until they have settled. */
  leave (line: Line): void {
    if (line.closed) return
    line.closed = true
    this.lines.delete(line)
    this.eviction.remove(line)
    this.usedBytes -= line.freeable
    this.waitingBytes -= line.waitingBytes
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
    line.requests++
    this.openRequests++
    line.receiving = passage
    line.arrivingSinceMs = this.eviction.sweptMs
    this.eviction.update(line)
    // Those before it have arrived, but the ends of their bodies may not have been reported yet.
    if (this.isFull(line)) this.hold(line)
    return this.reserve(passage, REQUEST_BYTES)
  }

  /**
   * Counts received bytes that wait until the connection is read again. If there is no room for them, the connection is closed, unless it
   * is the only one that waits.
   */
  keep (line: Line, bytes: number): void {
    if (line.closed) return
    const added = bytes - line.waitingBytes
    if (added > 0 && this.waitingBytes > line.waitingBytes && !this.makeRoom(line, added)) {
      this.cut(line, Cutoff.Memory)
      return
    }
    line.waitingBytes = bytes
    this.waitingBytes += added
    this.usedBytes += added
    this.addFreeable(line, added)
  }

  /** Counts a connection that is not read any more, and closes others of its kind if what the kernel may hold for them is too much. */
  linger (line: Line): void {
    if (line.closed) return
    const { lingering } = this.eviction
    lingering.add(line)
    const maximum = this.limits.bytes * LINGERING_FRACTION / this.limits.receiveBufferBytes
    for (const first of lingering) {
      if (first === line || lingering.size <= maximum) return
      this.cut(first, Cutoff.Memory)
    }
  }

  /**
   * Counts a part of a request's body.
   *
   * @returns false if the request is refused as not run, or its connection was closed
   */
  receive (passage: Passage, partBytes: number): boolean {
    passage.bodyBytes += partBytes
    if (passage.line.closed) return false
    // A body beyond its first block takes the room for the rest at once, so that the bodies that have begun can end.
    const bytes = passage.bodyBytes <= BLOCK_BYTES ? BLOCK_BYTES : blockBytesOf(passage.declaredBytes ?? this.limits.bodyBytes)
    if (bytes <= passage.reservedBytes) return true
    const added = bytes - passage.reservedBytes
    passage.reservedBytes = bytes
    return this.reserve(passage, added)
  }

  /** Returns whether a request that has arrived could be handled if there were no other. */
  fits (passage: Passage): boolean {
    return REQUEST_BYTES + handlingBytesOf(passage) <= this.limits.bytes
  }

  /**
   * Handles a request that has arrived, at once or after those before it on its connection.
   *
   * @returns false if the request is refused as not run, or its connection was closed
   */
  complete (passage: Passage): boolean {
    const { line } = passage
    if (line.closed || !this.reserve(passage, handlingBytesOf(passage) - passage.reservedBytes)) return false
    if (line.receiving === passage) line.receiving = undefined
    line.waiting.push(passage)
    this.handleNext(line)
    if (this.isFull(line)) this.hold(line)
    return true
  }

  /** Ends a request that was refused, once its answer has been sent. */
  abandon (passage: Passage): void {
    const { line } = passage
    if (line.closed) return
    if (line.receiving === passage) line.receiving = undefined
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
    this.addFreeable(passage.line, passage.bytes)
    if (passage.answered) this.conclude(passage)
  }

  /** Notes that the answer of a handled request was sent to the end. */
  answer (passage: Passage): void {
    passage.answered = true
    if (passage.settled && !passage.line.closed) this.conclude(passage)
  }

  /** Notes which clients do not read, and closes the connections of those that have read nothing for too long. */
  sweep (nowMs: number): void {
    this.eviction.sweptMs = nowMs
    for (const line of this.lines) {
      const sent = line.sent()
      if (line.unread() === 0) {
        line.unreadSinceMs = undefined
      } else if (line.unreadSinceMs === undefined || sent !== line.readBytes) {
        line.unreadSinceMs = nowMs
      } else if (nowMs - line.unreadSinceMs >= this.limits.answerMs && !this.eviction.idleOnly) {
        this.cut(line, Cutoff.SlowReader)
        continue
      }
      line.readBytes = sent
      this.eviction.update(line)
    }
  }

  private handleNext (line: Line): void {
    const parallel = this.usedBytes > this.limits.bytes * SHARED_FRACTION ? 1 : this.limits.requestsPerConnection
    while (line.handled.size < parallel && line.waiting.length > 0) {
      const passage = line.waiting.shift()!
      line.handled.add(passage)
      line.working++
      this.addFreeable(line, -passage.bytes)
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
    this.eviction.update(line)
    if (line.held && !this.isFull(line)) {
      line.held = false
      line.resume()
    }
  }

  /** Returns whether a connection has as many requests in progress as it may have, apart from one that is arriving. */
  private isFull (line: Line): boolean {
    return line.requests - Number(line.receiving !== undefined) >= this.limits.requestsPerConnection
  }

  private hold (line: Line): void {
    if (line.held || line.closed) return
    line.held = true
    line.hold()
  }

  /** Counts memory for a request that is not handled yet, and makes room for it if needed. */
  private reserve (passage: Passage, bytes: number): boolean {
    if (!this.makeRoom(passage.line, bytes)) {
      this.onCutoff(Cutoff.Memory)
      return false
    }
    this.usedBytes += bytes
    passage.bytes += bytes
    this.addFreeable(passage.line, bytes)
    return true
  }

  private free (passage: Passage): void {
    this.usedBytes -= passage.bytes
    this.addFreeable(passage.line, -passage.bytes)
    passage.bytes = 0
  }

  private addFreeable (line: Line, bytes: number): void {
    line.freeable += bytes
    this.eviction.update(line)
  }

  /** Returns whether there is room for more bytes of a connection, after others were closed for it if needed. */
  private makeRoom (line: Line, bytes: number): boolean {
    while (this.usedBytes + bytes > this.limits.bytes) {
      if (!this.evict(this.eviction.forMemory(line, bytes))) return false
    }
    return true
  }

  private evict (evicted: Evicted | undefined): boolean {
    if (evicted !== undefined) this.cut(evicted.line, evicted.cutoff)
    return evicted !== undefined
  }

  private cut (line: Line, cutoff: Cutoff): void {
    this.onCutoff(cutoff)
    this.leave(line)
    line.close()
  }
}

/** Returns what the handling of a body takes. */
function handlingBytesOf ({ bodyBytes, shape }: Passage): number {
  return HANDLING_COPIES * bodyBytes + shape.valueBytes
}

/** Returns what the blocks of a body take. */
function blockBytesOf (bodyBytes: number): number {
  return Math.ceil(bodyBytes / BLOCK_BYTES) * BLOCK_BYTES
}
