/**
 * What a node spent between two moments.
 */
import type { Usage } from '@fireflymount/daemon/entry/usage'
import type { Traffic } from '@fireflymount/platform/traffic'

/** The answer of `GET /v1/admin/node`. */
export interface NodeUsage extends Usage {
  readonly node: string
  readonly uptimeMs: number
  readonly cpu: { readonly userMs: number, readonly systemMs: number }
  readonly memory: { readonly residentBytes: number, readonly heapBytes: number }
}

/** What a node spends a second. */
export interface Spending {
  readonly node: string
  /** All bytes of control, sent and received. */
  readonly controlBytes: number
  readonly peerBytes: number
  readonly logBytes: number
  readonly machinesBytes: number
  readonly workerBytes: number
  readonly requestBytes: number
  /** Share of one core. */
  readonly cpuShare: number
  readonly residentMb: number
  readonly appends: number
}

const MS_PER_S = 1000
const BYTES_PER_MB = 1 << 20

/**
 * Computes what a node spent a second.
 *
 * @param before its totals at the start
 * @param after its totals at the end
 * @returns the rates
 */
export function spendingOf (before: NodeUsage, after: NodeUsage): Spending {
  const elapsedS = (after.uptimeMs - before.uptimeMs) / MS_PER_S
  const rate = (read: (usage: NodeUsage) => number): number => (read(after) - read(before)) / elapsedS
  const peerBytes = rate(({ control }) => bytesOf(control.peers))
  const logBytes = rate(({ control }) => bytesOf(control.log))
  const machinesBytes = rate(({ control }) => bytesOf(control.machines))
  const workerBytes = rate(({ control }) => bytesOf(control.workers))
  return {
    node: after.node,
    controlBytes: peerBytes + logBytes + machinesBytes + workerBytes,
    peerBytes,
    logBytes,
    machinesBytes,
    workerBytes,
    requestBytes: rate(({ requests }) => bytesOf(requests.peers) + bytesOf(requests.workers)),
    cpuShare: rate(({ cpu }) => cpu.userMs + cpu.systemMs) / MS_PER_S,
    residentMb: after.memory.residentBytes / BYTES_PER_MB,
    appends: rate(({ appends }) => appends)
  }
}

function bytesOf ({ sent, received }: Traffic): number {
  return sent + received
}
