/**
 * The workers of an owner's shard: keeps one session for each worker in the list of VMs.
 */
import type { Clock } from '@fireflymount/service-clients/clock'
import { VmState, type Vm } from '@fireflymount/service-clients/vm-list'
import type { Worker } from '@fireflymount/service-clients/worker'
import type { Timing } from '@fireflymount/manifest/settings'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import { Condition } from '@fireflymount/policy/task'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Allotment } from '@fireflymount/protocol/message'
import { addResources, type Resources } from '@fireflymount/protocol/resources'
import type { Members } from '../membership/members.js'
import { Session, type SessionEvents } from './session.js'
import type { ShardState } from './state.js'
import { stopProcess } from '../stop-process.js'

/** Interval between two checks whether the connections to workers can be closed. */
const CLOSE_POLL_INTERVAL_MS = 100

/** Constructor arguments of `Fleet`. */
export interface FleetOptions {
  readonly shard: string
  readonly epoch: Epoch
  readonly state: ShardState
  readonly members: Members
  readonly scheduler: Scheduler
  readonly connect: (vm: Vm) => Worker
  readonly clock: Clock
  readonly timing: Timing
  /** True while the owner may grant and renew leases. */
  readonly confirmed: () => boolean
  /** Returns the monotonic time after which former owners' leases have certainly expired; undefined while that is unknown. */
  readonly inheritedExpiryMs: () => number | undefined
  /** True if a worker has runs or requests whose outcome is not known yet. */
  readonly isBusy: (worker: string) => boolean
  readonly events: SessionEvents
}

/** The sessions with the workers of one shard. */
export class Fleet {
  private readonly sessions = new Map<string, Session>()

  constructor (private readonly options: FleetOptions) {}

  /** @returns the session with a worker */
  session (worker: string): Session | undefined {
    return this.sessions.get(worker)
  }

  /** Returns all sessions. */
  all (): Iterable<Session> {
    return this.sessions.values()
  }

  /** Returns the capacities of all workers. */
  capacities (): Resources[] {
    const capacities: Resources[] = []
    for (const session of this.sessions.values()) capacities.push(session.options.vm.resources!)
    return capacities
  }

  /** Opens sessions with new workers, and closes the sessions of terminated workers that have no work in progress. */
  refresh (): void {
    const listed = new Set<string>()
    for (const vm of this.options.members.workers(this.options.shard)) {
      listed.add(vm.id)
      const session = this.sessions.get(vm.id)
      if (session === undefined) this.openSession(vm)
      else this.refreshCondition(session)
    }
    for (const session of this.sessions.values()) {
      if (!listed.has(session.id) && this.options.members.isTerminated(session.id) && !this.options.isBusy(session.id)) {
        this.closeSession(session)
      }
    }
  }

  /** Updates in the scheduler whether a worker accepts new tasks. */
  refreshCondition (session: Session): void {
    const open = session.adopted && !this.isClosed(session.id)
    this.options.scheduler.setCondition(session.id, open ? Condition.Ready : Condition.Closed)
  }

  /** True if a worker gets no new tasks, because it is leaving or drained, or its availability zone is being evacuated. */
  isClosed (worker: string): boolean {
    return this.isLeavingOrDrained(worker) || this.isEvacuated(worker)
  }

  /** True while the availability zone of a worker is being evacuated. */
  isEvacuated (worker: string): boolean {
    const zone = this.sessions.get(worker)?.options.vm.zone
    return zone !== undefined && this.options.state.evacuated.has(zone)
  }

  /** True if a worker accepts no new tasks, because its VM is leaving or an operator drained it. */
  isLeavingOrDrained (worker: string): boolean {
    return this.options.members.vm(worker)?.state === VmState.Leaving || this.options.state.drained.has(worker)
  }

  /**
   * Returns the capacity of workers not adopted yet, where tasks of former owners may run. It counts against the allotment
   * of every limited team, since it is unknown which team's tasks these are.
   */
  unadoptedCapacity (): Allotment {
    let total: Allotment = { tasks: 0, cpuMilli: 0, memoryMb: 0, accelerators: 0 }
    for (const session of this.sessions.values()) {
      const { resources, slots } = session.options.vm
      if (!session.mayHaveUnknownRuns()) continue
      total = { tasks: total.tasks + slots!, ...addResources(total, resources!) }
    }
    return total
  }

  /**
   * Returns those of the given workers that have no session and can no longer run tasks of former owners, because the leases of
   * former owners have expired or the worker's VM is terminated.
   */
  expiredWithoutSession (workers: readonly string[]): string[] {
    const inheritedExpiryMs = this.options.inheritedExpiryMs()
    const expired = inheritedExpiryMs !== undefined && this.options.clock.now() > inheritedExpiryMs
    return workers.filter((worker) => !this.sessions.has(worker) && (expired || this.options.members.isTerminated(worker)))
  }

  /**
   * Ends all sessions.
   *
   * @param isIdle returns true once no request is in progress at a worker: the connections stay open until then
   */
  end (isIdle: () => boolean): void {
    for (const session of this.sessions.values()) session.end()
    this.closeWhenIdle(isIdle)
  }

  private closeWhenIdle (isIdle: () => boolean): void {
    if (!isIdle()) {
      setTimeout(() => { this.closeWhenIdle(isIdle) }, CLOSE_POLL_INTERVAL_MS)
      return
    }
    for (const session of this.sessions.values()) session.close()
  }

  private openSession (vm: Vm): void {
    const { options } = this
    if (vm.resources === undefined || vm.slots === undefined) return
    options.scheduler.setWorker({ id: vm.id, zone: vm.zone, rack: vm.rack, capacity: vm.resources, slots: vm.slots })
    options.scheduler.setCondition(vm.id, Condition.Closed)
    const session = new Session({
      ...options, vm, worker: options.connect(vm), isTerminated: () => options.members.isTerminated(vm.id)
    })
    this.sessions.set(vm.id, session)
    session.run().catch(stopProcess)
  }

  private closeSession (session: Session): void {
    session.close()
    this.sessions.delete(session.id)
    this.options.scheduler.setCondition(session.id, Condition.Closed)
    this.options.scheduler.removeWorker(session.id)
  }
}
