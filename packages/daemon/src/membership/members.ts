/**
 * The nodes and workers that this node knows from the platform's lagging list of VMs.
 */
import { sleep, type Clock } from '@fireflymount/platform/clock'
import { VmRole, VmState, type Machines, type Vm } from '@fireflymount/platform/machines'
import { rankNodes } from './rendezvous.js'

/** Time between two polls of the list. */
export const POLL_MS = 1000

/** Time for which a VM must be missing from every list before it counts as terminated: a list can be wrong for a while. */
export const ABSENCE_MS = 60_000

/** How many nodes, the owner included, follow a shard. */
export const FOLLOWERS = 3

/** The order of the nodes for one shard. */
interface Rank {
  readonly zones: readonly string[]
  readonly names: readonly string[]
}

/** The last list that the platform gave. */
export class Members {
  private vms: readonly Vm[] = []
  private byId = new Map<string, Vm>()
  private byUpstream = new Map<string, Vm[]>()
  /** Orders that were worked out from the last list, by shard. */
  private readonly ranks = new Map<string, Rank>()
  private listedAtMs = -Infinity
  /** When each daemon's VM that is not gone was last listed. */
  private readonly nodesListedAtMs = new Map<string, number>()
  /** Since when VMs that were asked for are missing. */
  private readonly missingSinceMs = new Map<string, number>()

  constructor (private readonly machines: Machines, private readonly clock: Clock) {}

  /** Polls the list until the signal. A failed poll leaves the last list in place. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.poll()
      await sleep(POLL_MS, signal)
    }
  }

  /** Reads the list once. */
  async poll (): Promise<void> {
    const list = await this.machines.list()
    if (list.isErr()) return
    this.listedAtMs = this.clock.now()
    this.vms = list.value
    this.byId = new Map(list.value.map((vm) => [vm.id, vm]))
    this.byUpstream = groupWorkers(list.value)
    this.ranks.clear()
    this.noteNodes()
    for (const id of this.missingSinceMs.keys()) {
      if (this.byId.has(id)) this.missingSinceMs.delete(id)
    }
  }

  /** Milliseconds since the last successful poll. */
  ageMs (): number {
    return this.clock.now() - this.listedAtMs
  }

  /** @returns the VM, or undefined if the list does not have it */
  vm (id: string): Vm | undefined {
    return this.byId.get(id)
  }

  /** True if the platform says that the VM is terminated, or has left it out of every list for `ABSENCE_MS`. */
  isGone (id: string): boolean {
    const vm = this.byId.get(id)
    if (vm !== undefined) return vm.state === VmState.Gone
    if (this.listedAtMs === -Infinity) return false
    const sinceMs = this.missingSinceMs.get(id) ?? this.listedAtMs
    this.missingSinceMs.set(id, sinceMs)
    return this.listedAtMs - sinceMs >= ABSENCE_MS
  }

  /** Names of all daemons' VMs that are not gone. */
  nodes (): string[] {
    const names: string[] = []
    for (const vm of this.vms) {
      if (vm.role === VmRole.Entry && vm.state !== VmState.Gone) names.push(vm.id)
    }
    return names
  }

  /** Names of all daemons' VMs that may be alive, left out of the last lists or not; undefined if the list is old. */
  possibleNodes (): string[] | undefined {
    if (this.ageMs() > ABSENCE_MS) return undefined
    return [...this.nodesListedAtMs.keys()]
  }

  /** The workers of an upstream that are not gone. */
  workers (upstream: string): readonly Vm[] {
    return this.byUpstream.get(upstream) ?? []
  }

  /**
   * Orders the nodes that may own a shard.
   *
   * @param shard the shard's name
   * @param zones availability zones of its workers; if no node is there, all nodes are candidates
   * @returns names of live nodes, the first candidate first
   */
  candidates (shard: string, zones: readonly string[]): readonly string[] {
    const known = this.ranks.get(shard)
    if (known !== undefined && known.zones === zones) return known.names
    const names = this.rank(shard, zones)
    this.ranks.set(shard, { zones, names })
    return names
  }

  private noteNodes (): void {
    for (const vm of this.vms) {
      if (vm.role !== VmRole.Entry) continue
      if (vm.state === VmState.Gone) this.nodesListedAtMs.delete(vm.id)
      else this.nodesListedAtMs.set(vm.id, this.listedAtMs)
    }
    for (const [id, listedAtMs] of this.nodesListedAtMs) {
      if (this.listedAtMs - listedAtMs >= ABSENCE_MS) this.nodesListedAtMs.delete(id)
    }
  }

  private rank (shard: string, zones: readonly string[]): string[] {
    const live = this.vms.filter((vm) => vm.role === VmRole.Entry && vm.state === VmState.Live)
    const near = live.filter((vm) => zones.includes(vm.zone))
    const chosen = near.length > 0 ? near : live
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
