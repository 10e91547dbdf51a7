/**
 * Counters of the calls to the services that the stand-in provides: of the appends that were stored or throttled, and of the
 * reads and lists that succeeded.
 */

/** The counters of one stream, of one node, or the total. */
export interface CallCounts {
  appends: number
  throttled: number
  reads: number
  lists: number
  /** Bytes of the bodies of appends. */
  bytesIn: number
  /** Bytes of the bodies of responses to reads and lists. */
  bytesOut: number
}

/** All counters. */
export interface CounterTable {
  readonly total: CallCounts
  readonly streams: Record<string, CallCounts>
  readonly nodes: Record<string, CallCounts>
}

/** Counts calls and bytes by stream and by node. */
export class Counters {
  private readonly total = createCallCounts()
  private readonly streams = new Map<string, CallCounts>()
  private readonly nodes = new Map<string, CallCounts>()

  /** Adds to the counters of a stream and a node, and to the total. An empty stream name counts for no stream. */
  add (node: string, stream: string, amounts: Partial<CallCounts>): void {
    const counts = [this.total, findOrCreateCallCounts(this.nodes, node)]
    if (stream !== '') counts.push(findOrCreateCallCounts(this.streams, stream))
    for (const count of counts) {
      for (const [name, amount] of Object.entries(amounts)) count[name as keyof CallCounts] += amount
    }
  }

  /** Returns all counters. */
  table (): CounterTable {
    return { total: this.total, streams: Object.fromEntries(this.streams), nodes: Object.fromEntries(this.nodes) }
  }
}

function findOrCreateCallCounts (counts: Map<string, CallCounts>, name: string): CallCounts {
  const known = counts.get(name)
  if (known !== undefined) return known
  const count = createCallCounts()
  counts.set(name, count)
  return count
}

function createCallCounts (): CallCounts {
  return { appends: 0, throttled: 0, reads: 0, lists: 0, bytesIn: 0, bytesOut: 0 }
}
