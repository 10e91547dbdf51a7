/**
 * Membership: the nodes and workers in the platform's list of VMs, which is eventually consistent.
 */
import { sleep, type Clock } from '@fireflymount/service-clients/clock'
import { VmRole, VmState, type VmList, type Vm } from '@fireflymount/service-clients/vm-list'
import { rankNodes } from './rendezvous.js'

/** Time between two polls of the list. */
export const POLL_INTERVAL_MS = 1000

/** Time for which a VM must be missing from every list before it counts as terminated: a list can be incorrect for a while. */
export const MISSING_VM_TIMEOUT_MS = 60_000

/** Desired number of nodes that read the stream of a shard, including its owner. */
export const READERS_PER_SHARD = 3

/** The cached order of the candidate nodes of one shard. */
interface CandidateOrder {
  readonly zones: readonly string[]
  readonly names: readonly string[]
}

/** The last list of VMs received from the platform. */
export class Members {
  private vms: readonly Vm[] = []
  private byId = new Map<string, Vm>()
  private byUpstream = new Map<string, Vm[]>()
  /** Orders that were computed from the last list, by shard. */
  private readonly candidateOrders = new Map<string, CandidateOrder>()
  private listedAtMs = -Infinity
  /** Time at which the VM of each node was last listed; terminated VMs are excluded. */
  private readonly nodesListedAtMs = new Map<string, number>()
  /** By VM: receipt time of the list that was current when isTerminated first found the VM missing. */
  private readonly missingSinceMs = new Map<string, number>()

  constructor (private readonly machines: VmList, private readonly clock: Clock) {}

  /** Polls the list until the signal is aborted. A failed poll keeps the last list. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.poll()
      await sleep(POLL_INTERVAL_MS, signal)
    }
  }

  /** Polls the list once. */
  async poll (): Promise<void> {
    const list = await this.machines.list()
    if (list.isErr()) return
    this.listedAtMs = this.clock.now()
    this.vms = list.value
    this.byId = new Map(list.value.map((vm) => [vm.id, vm]))
    this.byUpstream = groupWorkers(list.value)
    this.candidateOrders.clear()
    this.updateNodes()
    for (const id of this.missingSinceMs.keys()) {
      if (this.byId.has(id)) this.missingSinceMs.delete(id)
    }
  }

  /** Milliseconds since the last successful poll. */
  ageMs (): number {
    return this.clock.now() - this.listedAtMs
  }

  /** @returns the VM, or undefined if it is not in the last list */
  vm (id: string): Vm | undefined {
    return this.byId.get(id)
  }

  /**
   * True if the platform lists the VM as terminated, or if it was missing from every list for `MISSING_VM_TIMEOUT_MS`. That time
   * starts with the last list before the first call that finds the VM missing.
   */
  isTerminated (id: string): boolean {
    const vm = this.byId.get(id)
    if (vm !== undefined) return vm.state === VmState.Gone
    if (this.listedAtMs === -Infinity) return false
    const sinceMs = this.missingSinceMs.get(id) ?? this.listedAtMs
    this.missingSinceMs.set(id, sinceMs)
    return this.listedAtMs - sinceMs >= MISSING_VM_TIMEOUT_MS
  }

  /** Names of the nodes in the last list whose VMs are not listed as terminated. */
  nodes (): string[] {
    const names: string[] = []
    for (const vm of this.vms) {
      if (vm.role === VmRole.Entry && vm.state !== VmState.Gone) names.push(vm.id)
    }
    return names
  }

  /** Names of all nodes that may be alive, even if missing from the last list; undefined if that list is too old. */
  possiblyLiveNodes (): string[] | undefined {
    if (this.ageMs() > MISSING_VM_TIMEOUT_MS) return undefined
    return [...this.nodesListedAtMs.keys()]
  }

  /** The workers of an upstream that are not terminated. */
  workers (upstream: string): readonly Vm[] {
    return this.byUpstream.get(upstream) ?? []
  }

  /**
   * Returns the nodes that may own a shard, first candidate first.
   *
   * @param shard the shard's name
   * @param zones availability zones of its workers; if they contain no live node, all live nodes are candidates
   * @returns names of live nodes
   */
  candidates (shard: string, zones: readonly string[]): readonly string[] {
    const cached = this.candidateOrders.get(shard)
    if (cached !== undefined && cached.zones === zones) return cached.names
    const names = this.orderCandidates(shard, zones)
    this.candidateOrders.set(shard, { zones, names })
    return names
  }

  private updateNodes (): void {
    for (const vm of this.vms) {
      if (vm.role !== VmRole.Entry) continue
      if (vm.state === VmState.Gone) this.nodesListedAtMs.delete(vm.id)
      else this.nodesListedAtMs.set(vm.id, this.listedAtMs)
    }
    for (const [id, listedAtMs] of this.nodesListedAtMs) {
      if (this.listedAtMs - listedAtMs >= MISSING_VM_TIMEOUT_MS) this.nodesListedAtMs.delete(id)
    }
  }

  private orderCandidates (shard: string, zones: readonly string[]): string[] {
    const live = this.vms.filter((vm) => vm.role === VmRole.Entry && vm.state === VmState.Live)
    const inZones = live.filter((vm) => zones.includes(vm.zone))
    const chosen = inZones.length > 0 ? inZones : live
    return rankNodes(shard, chosen.map((vm) => vm.id))
  }
}

function groupWorkers (vms: readonly Vm[]): Map<string, Vm[]> {
  const groups = new Map<string, Vm[]>()
  for (const vm of vms) {
    if (vm.role !== VmRole.Worker || vm.upstream === undefined || vm.state === VmState.Gone) continue
    const group = groups.get(vm.upstream)
    if (group === undefined) groups.set(vm.upstream, [vm])
    else group.push(vm)
  }
  return groups
}
