/**
 * Counters of the calls to the services that the stand-in provides.
 */

/** The counters of one stream, of one node, or the total. */
export interface Count {
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
  readonly total: Count
  readonly streams: Record<string, Count>
  readonly nodes: Record<string, Count>
}

/** Counts calls and bytes by stream and by node. */
export class Counters {
  private readonly total = createCount()
  private readonly streams = new Map<string, Count>()
  private readonly nodes = new Map<string, Count>()

  /** Adds to the counters of a stream and a node, and to the total. An empty stream name counts for no stream. */
  add (node: string, stream: string, amounts: Partial<Count>): void {
    const counts = [this.total, findOrCreateCount(this.nodes, node)]
    if (stream !== '') counts.push(findOrCreateCount(this.streams, stream))
    for (const count of counts) {
      for (const [name, amount] of Object.entries(amounts)) count[name as keyof Count] += amount
    }
  }

  /** Returns all counters. */
  table (): CounterTable {
    return { total: this.total, streams: Object.fromEntries(this.streams), nodes: Object.fromEntries(this.nodes) }
  }
}

function findOrCreateCount (counts: Map<string, Count>, name: string): Count {
  const known = counts.get(name)
  if (known !== undefined) return known
  const count = createCount()
  counts.set(name, count)
  return count
}

function createCount (): Count {
  return { appends: 0, throttled: 0, reads: 0, lists: 0, bytesIn: 0, bytesOut: 0 }
}
