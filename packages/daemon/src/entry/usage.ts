/**
 * What a node spends: bytes of control and of requests, processor time and memory.
 */
import type { Traffic } from '@fireflymount/platform/traffic'
import { answerJson } from './answer.js'
import type { Entry } from './parts.js'

/** Bytes of control, by what they are exchanged with. HTTP and WebSocket headers and heartbeats are included, TCP/IP headers are not. */
export interface ControlTraffic {
  /** Other daemons, without the frames that carry callers' requests. */
  readonly peers: Traffic
  readonly log: Traffic
  readonly machines: Traffic
  /** Workers: adoption, renewal, start, stop and throttle. */
  readonly workers: Traffic
}

/** Bytes of callers' requests on their way inside the system. */
export interface RequestTraffic {
  readonly peers: Traffic
  readonly workers: Traffic
}

/** Totals of a node since its start. */
export interface Usage {
  readonly control: ControlTraffic
  readonly requests: RequestTraffic
  /** Frames exchanged with other daemons, without heartbeats. */
  readonly frames: { readonly sent: number, readonly received: number }
  /** Records that the log took from this node. */
  readonly appends: number
  /** Shards that the node owns now. */
  readonly owned: readonly string[]
  readonly counters: Readonly<Record<string, number>>
}

const MICROSECONDS_PER_MS = 1000
const MS_PER_S = 1000

/**
 * Handles `GET /v1/admin/node`.
 *
 * @param entry the parts of the API
 * @returns what this node has spent since its start
 */
export function onUsage (entry: Entry): Response {
  const cpu = process.cpuUsage()
  const memory = process.memoryUsage()
  return answerJson({
    node: entry.settings.node,
    uptimeMs: Math.round(process.uptime() * MS_PER_S),
    cpu: { userMs: cpu.user / MICROSECONDS_PER_MS, systemMs: cpu.system / MICROSECONDS_PER_MS },
    memory: { residentBytes: memory.rss, heapBytes: memory.heapUsed },
    ...entry.usage()
  })
}
