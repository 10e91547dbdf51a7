/**
 * Counters, timings and gauges of a node. Totals are kept in memory and, if a server is configured, also sent to it as
 * StatsD metrics over UDP.
 */
import type { Listener } from '@fireflymount/manifest/settings'
import { StatsD } from 'hot-shots'

/** Receives the counters, timings and gauges of a node. */
export abstract class Metrics {
  /** Adds to a counter. */
  abstract count (name: string, amount?: number): void
  /** Records a duration in milliseconds. */
  abstract timing (name: string, ms: number): void
  /** Sets a gauge. */
  abstract gauge (name: string, value: number): void
}

const PREFIX = 'fireflymount.'
/** Size up to which metrics are buffered before a packet is sent. */
const MAX_PACKET_BYTES = 1200
const FLUSH_INTERVAL_MS = 1000

/** Keeps totals and gauges since the start of the process in memory and optionally forwards metrics to a StatsD server. */
export class InMemoryMetrics extends Metrics {
  private readonly totals = new Map<string, number>()
  private readonly client: StatsD | undefined

  /**
   * @param node the node's name, sent as a tag
   * @param server address of the StatsD server; if undefined, only totals are kept
   */
  constructor (node: string, server: Listener | undefined) {
    super()
    if (server === undefined) return
    this.client = new StatsD({
      host: server.host,
      port: server.port,
      prefix: PREFIX,
      globalTags: { node },
      maxBufferSize: MAX_PACKET_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MS,
      errorHandler: () => { this.add('metrics.errors', 1) }
    })
  }

  override count (name: string, amount = 1): void {
    this.add(name, amount)
    this.client?.increment(name, amount)
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

  /** Sends the buffered metrics and closes the socket. */
  close (): Promise<void> {
    return new Promise((resolve) => {
      if (this.client === undefined) resolve()
      else this.client.close(() => { resolve() })
    })
  }

  private add (name: string, amount: number): void {
    this.totals.set(name, (this.totals.get(name) ?? 0) + amount)
  }
}
