/**
 * Resource usage of a node: bytes of control and of request traffic, CPU time and memory.
 */
import type { ByteCounts } from '@fireflymount/service-clients/byte-counts'
import { createJsonResponse } from './json-response.js'
import type { ApiContext } from './api-context.js'

/**
 * Bytes of control traffic, by the kind of the other end. HTTP and WebSocket headers and heartbeats are included, TCP/IP
 * headers are not.
 */
export interface ControlTraffic {
  /** Other nodes, excluding the frames that carry callers' and operators' requests. */
  readonly peers: ByteCounts
  readonly log: ByteCounts
  readonly machines: ByteCounts
  /** Workers: the commands adopt, renew, start, stop and throttle. */
  readonly workers: ByteCounts
}

/** Bytes of callers' and operators' requests that are forwarded to other nodes, and of callers' requests sent to workers. */
export interface RequestTraffic {
  readonly peers: ByteCounts
  readonly workers: ByteCounts
}

/** Totals of a node since its start. */
export interface Usage {
  readonly control: ControlTraffic
  readonly requests: RequestTraffic
  /** Frames exchanged with other nodes, excluding heartbeats. */
  readonly frames: { readonly sent: number, readonly received: number }
  /** Number of records of this node that the log accepted. */
  readonly appends: number
  /** Shards that the node owns at present. */
  readonly owned: readonly string[]
  readonly counters: Readonly<Record<string, number>>
}

const MICROSECONDS_PER_MS = 1000
const MS_PER_SECOND = 1000

/**
 * Handles `GET /v1/admin/node`.
 *
 * @param api the dependencies of the API
 * @returns the resources that this node has used since its start
 */
export function onUsage (api: ApiContext): Response {
  const cpu = process.cpuUsage()
  const memory = process.memoryUsage()
  return createJsonResponse({
    node: api.settings.node,
    uptimeMs: Math.round(process.uptime() * MS_PER_SECOND),
    cpu: { userMs: cpu.user / MICROSECONDS_PER_MS, systemMs: cpu.system / MICROSECONDS_PER_MS },
    memory: { residentBytes: memory.rss, heapBytes: memory.heapUsed },
    ...api.usage()
  })
}
