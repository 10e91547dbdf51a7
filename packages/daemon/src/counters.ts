/**
 * Counters and timings of a node: kept as totals, and sent as StatsD metrics over UDP if the settings say where.
 */
import type { Listener } from '@fireflymount/manifest/settings'
import { StatsD } from 'hot-shots'

/** Where counts and timings go. */
export abstract class Metrics {
  /** Adds to a counter. */
  abstract count (name: string, by?: number): void
  /** Records a duration in milliseconds. */
  abstract timing (name: string, ms: number): void
  /** Sets a gauge. */
  abstract gauge (name: string, value: number): void
}

const PREFIX = 'fireflymount.'
/** Bytes gathered before a packet is sent. */
const PACKET_BYTES = 1200
const FLUSH_MS = 1000

/** Totals since the start of the process, with an optional StatsD server. */
export class Counters extends Metrics {
  private readonly totals = new Map<string, number>()
  private readonly client: StatsD | undefined

  /**
   * @param node the node's name, sent as a tag
   * @param server where to send to; totals only if undefined
   */
  constructor (node: string, server: Listener | undefined) {
    super()
    if (server === undefined) return
    this.client = new StatsD({
      host: server.host,
      port: server.port,
      prefix: PREFIX,
      globalTags: { node },
      maxBufferSize: PACKET_BYTES,
      bufferFlushInterval: FLUSH_MS,
      errorHandler: () => { this.add('metrics.errors', 1) }
    })
  }

  override count (name: string, by = 1): void {
    this.add(name, by)
    this.client?.increment(name, by)
  }

  override timing (name: string, ms: number): void {
    this.add(`${name}.count`, 1)
    this.add(`${name}.sum`, ms)
    this.client?.timing(name, ms)
  }

  override gauge (name: string, value: number): void {
    this.totals.set(name, value)
    this.client?.gauge(name, value)
  }

  /** All totals by name. */
  snapshot (): Record<string, number> {
    return Object.fromEntries(this.totals)
  }

  /** Sends what is gathered and closes the socket. */
  close (): Promise<void> {
    return new Promise((resolve) => {
      if (this.client === undefined) resolve()
      else this.client.close(() => { resolve() })
    })
  }

  private add (name: string, by: number): void {
    this.totals.set(name, (this.totals.get(name) ?? 0) + by)
  }
}
