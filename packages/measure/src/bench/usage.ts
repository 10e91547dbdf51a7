/**
 * Resource usage of a node between two readings of its totals.
 */
import type { Usage } from '@fireflymount/daemon/entry/usage'
import type { ByteCounts } from '@fireflymount/service-clients/byte-counts'

/** The answer of `GET /v1/admin/node`. */
export interface NodeUsage extends Usage {
  readonly node: string
  readonly uptimeMs: number
  readonly cpu: { readonly userMs: number, readonly systemMs: number }
  readonly memory: { readonly residentBytes: number, readonly heapBytes: number }
}

/** Resource usage of a node per second. */
export interface UsageRates {
  readonly node: string
  /** Bytes of all control traffic, sent and received. */
  readonly controlBytes: number
  readonly peerBytes: number
  readonly logBytes: number
  readonly machinesBytes: number
  readonly workerBytes: number
  readonly requestBytes: number
  /** CPU time as a fraction of one core. */
  readonly cpuShare: number
  /** Resident memory at the end, in MiB; not a rate. */
  readonly residentMb: number
  /** Appends to the log. */
  readonly appends: number
}

const MS_PER_S = 1000
const BYTES_PER_MIB = 1 << 20

/**
 * Computes the resource usage of a node per second.
 *
 * @param before totals of the node at the start
 * @param after totals of the node at the end
 * @returns the rates
 */
export function computeUsageRates (before: NodeUsage, after: NodeUsage): UsageRates {
  const elapsedS = (after.uptimeMs - before.uptimeMs) / MS_PER_S
  const rate = (read: (usage: NodeUsage) => number): number => (read(after) - read(before)) / elapsedS
  const peerBytes = rate(({ control }) => totalBytes(control.peers))
  const logBytes = rate(({ control }) => totalBytes(control.log))
  const machinesBytes = rate(({ control }) => totalBytes(control.machines))
  const workerBytes = rate(({ control }) => totalBytes(control.workers))
  return {
    node: after.node,
    controlBytes: peerBytes + logBytes + machinesBytes + workerBytes,
    peerBytes,
    logBytes,
    machinesBytes,
    workerBytes,
    requestBytes: rate(({ requests }) => totalBytes(requests.peers) + totalBytes(requests.workers)),
    cpuShare: rate(({ cpu }) => cpu.userMs + cpu.systemMs) / MS_PER_S,
    residentMb: after.memory.residentBytes / BYTES_PER_MIB,
    appends: rate(({ appends }) => appends)
  }
}

function totalBytes ({ sent, received }: ByteCounts): number {
  return sent + received
}
