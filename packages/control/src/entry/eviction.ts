/**
 * Order in which connections are closed to make room for others. Its cost does not grow with the number of connections.
 *
 * For a connection:
 *
 * 1. the one that has lingered longest: its request was refused, and nothing more is read;
 * 2. the one that has been idle longest;
 * 3. one that does not read its answers and has no work in progress;
 * 4. the one whose only request has been arriving longest;
 * 5. one that does not read its answers.
 *
 * For the memory of a request:
 *
 * 1. one that does not read its answers and has no work in progress;
 * 2. one that holds more than the request's own connection would, and has no request handled;
 * 3. one that holds as much, whose only request has been arriving for `stallMs`;
 * 4. one that does not read its answers;
 * 5. one that holds more than the request's own connection would.
 *
 * A connection does not read once it has taken nothing of its answers for `stallMs`. Sizes are compared by powers of two.
 */
import { Cutoff } from './cutoff.js'
import type { Line } from './line.js'

const SIZE_CLASSES = 32

/** A connection that is to be closed. */
export interface Evicted {
  readonly line: Line
  readonly cutoff: Cutoff
}

/** Keeps the connections in the order in which they are closed. */
export class Eviction {
  /** Time of the last sweep. */
  sweptMs = 0
  /** True if connections with requests are not closed. */
  idleOnly = false
  /** Connections that stay open only until their clients have read a refusal, in the order of entry. */
  readonly lingering = new Set<Line>()
  /** Each set is in the order of entry, so that its first connection has been in that state longest. */
  private readonly idle = new Set<Line>()
  private readonly arriving = new Set<Line>()
  private readonly stalled = new Set<Line>()
  private readonly stalledWorking = new Set<Line>()
  private readonly sizes = new Sizes()
  private readonly busySizes = new Sizes()

  constructor (private readonly stallMs: number) {}

  /** Sorts a connection in after its state has changed. */
  update (line: Line): void {
    if (line.closed) return
    const busy = line.handled.size > 0
    place(this.idle, line, line.requests === 0 && !line.occupied)
    place(this.arriving, line, line.receiving !== undefined && !busy && line.waiting.length === 0)
    const stalled = line.unreadSinceMs !== undefined && this.sweptMs - line.unreadSinceMs >= this.stallMs
    place(this.stalled, line, stalled && line.working === 0)
    place(this.stalledWorking, line, stalled && line.working > 0)
    this.sizes.place(line, busy ? 0 : line.freeable)
    this.busySizes.place(line, busy ? line.freeable : 0)
  }

  /** Takes a closed connection out. */
  remove (line: Line): void {
    for (const set of [this.lingering, this.idle, this.arriving, this.stalled, this.stalledWorking]) set.delete(line)
    this.sizes.place(line, 0)
    this.busySizes.place(line, 0)
  }

  /** Returns what is closed for a new connection; undefined if it has to be refused. */
  forConnection (): Evicted | undefined {
    const [lingering] = this.lingering
    if (lingering !== undefined) return { line: lingering, cutoff: Cutoff.Idle }
    const [idle] = this.idle
    if (idle !== undefined) return { line: idle, cutoff: Cutoff.Idle }
    if (this.idleOnly) return undefined
    const stalled = this.firstStalled(this.stalled)
    if (stalled !== undefined) return { line: stalled, cutoff: Cutoff.Unread }
    const [arriving] = this.arriving
    if (arriving !== undefined) return { line: arriving, cutoff: Cutoff.Receiving }
    const working = this.firstStalled(this.stalledWorking)
    return working && { line: working, cutoff: Cutoff.Unread }
  }

  /**
   * Returns what is closed for the memory of a request; undefined if the request has to be refused.
   *
   * @param requester connection of the request
   * @param bytes what the request needs in addition
   */
  forMemory (requester: Line, bytes: number): Evicted | undefined {
    if (this.idleOnly) return undefined
    const heldBytes = requester.freeable + bytes
    const stalled = this.firstStalled(this.stalled, requester)
    if (stalled !== undefined) return { line: stalled, cutoff: Cutoff.Unread }
    const larger = this.sizes.largerThan(heldBytes)
    if (larger !== undefined) return { line: larger, cutoff: Cutoff.Largest }
    const equal = this.sizes.equalTo(heldBytes, requester)
    if (equal !== undefined && this.arriving.has(equal) && this.sweptMs - equal.arrivingSinceMs >= this.stallMs) {
      return { line: equal, cutoff: Cutoff.Receiving }
    }
    const working = this.firstStalled(this.stalledWorking, requester)
    if (working !== undefined) return { line: working, cutoff: Cutoff.Unread }
    const busy = this.busySizes.largerThan(heldBytes)
    return busy && { line: busy, cutoff: Cutoff.Largest }
  }

  /** Returns the first connection that still does not read; for a request, another one that holds memory. */
  private firstStalled (lines: Set<Line>, requester?: Line): Line | undefined {
    for (const line of lines) {
      if (line === requester) continue
      if (line.stalled && (requester === undefined || line.freeable > 0)) return line
      // It is sorted in again when its state changes.
      lines.delete(line)
    }
    return undefined
  }
}

/** Connections by what they hold, in powers of two. */
class Sizes {
  private readonly classes = Array.from({ length: SIZE_CLASSES + 1 }, () => new Set<Line>())
  private readonly classOf = new Map<Line, number>()

  /** Sorts a connection in by what it holds; takes it out if it holds nothing. */
  place (line: Line, bytes: number): void {
    const before = this.classOf.get(line) ?? 0
    const now = sizeClass(bytes)
    if (now === before) return
    this.classes[before]!.delete(line)
    if (now === 0) {
      this.classOf.delete(line)
      return
    }
    this.classes[now]!.add(line)
    this.classOf.set(line, now)
  }

  /** Returns a connection of the largest class, if that is above the class of the given size. */
  largerThan (bytes: number): Line | undefined {
    for (let size = SIZE_CLASSES; size > sizeClass(bytes); size--) {
      const [line] = this.classes[size]!
      if (line !== undefined) return line
    }
    return undefined
  }

  /** Returns the connection that has been in the class of the given size longest, apart from the requester. */
  equalTo (bytes: number, requester: Line): Line | undefined {
    for (const line of this.classes[sizeClass(bytes)]!) {
      if (line !== requester) return line
    }
    return undefined
  }
}

/** Returns the number of bits of the size. */
function sizeClass (bytes: number): number {
  return SIZE_CLASSES - Math.clz32(bytes)
}

function place (set: Set<Line>, line: Line, belongs: boolean): void {
  if (belongs) set.add(line)
  else set.delete(line)
}
