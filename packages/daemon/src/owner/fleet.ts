/**
 * The workers of an owner's shard: one session for each that the list of VMs has.
 */
import type { Clock } from '@fireflymount/platform/clock'
import { VmState, type Vm } from '@fireflymount/platform/machines'
import type { Worker } from '@fireflymount/platform/worker'
import type { Timing } from '@fireflymount/manifest/settings'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import { Condition } from '@fireflymount/policy/task'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Allotment } from '@fireflymount/protocol/message'
import { addResources, type Resources } from '@fireflymount/protocol/resources'
import type { Members } from '../membership/members.js'
import { Session, type SessionEvents } from './session.js'
import type { ShardState } from './state.js'
import { stopProcess } from '../invariant.js'

/** Time between two checks whether the connections to workers can be closed. */
const CLOSE_POLL_MS = 100

/** What a fleet works with. */
export interface FleetParts {
  readonly shard: string
  readonly epoch: Epoch
  readonly state: ShardState
  readonly members: Members
  readonly scheduler: Scheduler
  readonly connect: (vm: Vm) => Worker
  readonly clock: Clock
  readonly timing: Timing
  readonly confirmed: () => boolean
  readonly inheritedLapseMs: () => number | undefined
  /** True if runs or requests on a worker are not settled. */
  readonly isBusy: (worker: string) => boolean
  readonly events: SessionEvents
}

/** The sessions with the workers of one shard. */
export class Fleet {
  private readonly sessions = new Map<string, Session>()

  constructor (private readonly parts: FleetParts) {}

  /** @returns the session with a worker */
  session (worker: string): Session | undefined {
    return this.sessions.get(worker)
  }

  /** All sessions. */
  all (): Iterable<Session> {
    return this.sessions.values()
  }

  /** Capacities of all workers. */
  capacities (): Resources[] {
    const capacities: Resources[] = []
    for (const session of this.sessions.values()) capacities.push(session.parts.vm.resources!)
    return capacities
  }

  /** Opens sessions with new workers, and ends those with workers that are terminated. */
  refresh (): void {
    const listed = new Set<string>()
    for (const vm of this.parts.members.workers(this.parts.shard)) {
      listed.add(vm.id)
      const session = this.sessions.get(vm.id)
      if (session === undefined) this.open(vm)
      else this.refreshCondition(session)
    }
    for (const session of this.sessions.values()) {
      if (!listed.has(session.id) && this.parts.members.isGone(session.id) && !this.parts.isBusy(session.id)) this.drop(session)
    }
  }

  /** Opens or closes a worker to new tasks. */
  refreshCondition (session: Session): void {
    const open = session.adopted && !this.isClosed(session.id)
    this.parts.scheduler.setCondition(session.id, open ? Condition.Ready : Condition.Closed)
  }

  /** True if a worker takes nothing new: it leaves, or an operator drained it. */
  isClosed (worker: string): boolean {
    return this.parts.members.vm(worker)?.state === VmState.Leaving || this.parts.state.drained.has(worker)
  }

  /** What former owners may still have running on workers that were never adopted: charged to every limited team. */
  uncertain (): Allotment {
    let total: Allotment = { tasks: 0, cpuMilli: 0, memoryMb: 0, accelerators: 0 }
    for (const session of this.sessions.values()) {
      const { resources, slots } = session.parts.vm
      if (!session.isUncertain()) continue
      total = { tasks: total.tasks + slots!, ...addResources(total, resources!) }
    }
    return total
  }

  /** Those of the given workers that the list does not have, and on which nothing of former owners runs any more. */
  unlisted (workers: readonly string[]): string[] {
    const lapseMs = this.parts.inheritedLapseMs()
    const lapsed = lapseMs !== undefined && this.parts.clock.now() > lapseMs
    return workers.filter((worker) => !this.sessions.has(worker) && (lapsed || this.parts.members.isGone(worker)))
  }

  /**
   * Ends all sessions.
   *
   * @param isIdle true once no request is at a worker: the connections are kept until then
   */
  end (isIdle: () => boolean): void {
    for (const session of this.sessions.values()) session.end()
    this.closeWhen(isIdle)
  }

  private closeWhen (isIdle: () => boolean): void {
    if (!isIdle()) {
      setTimeout(() => { this.closeWhen(isIdle) }, CLOSE_POLL_MS)
      return
    }
    for (const session of this.sessions.values()) session.close()
  }

  private open (vm: Vm): void {
    const { parts } = this
    if (vm.resources === undefined || vm.slots === undefined) return
    parts.scheduler.setMachine({ id: vm.id, zone: vm.zone, rack: vm.rack, capacity: vm.resources, slots: vm.slots })
    parts.scheduler.setCondition(vm.id, Condition.Closed)
    const session = new Session({ ...parts, vm, worker: parts.connect(vm), isGone: () => parts.members.isGone(vm.id) })
    this.sessions.set(vm.id, session)
    session.run().catch(stopProcess)
  }

  private drop (session: Session): void {
    session.close()
    this.sessions.delete(session.id)
    this.parts.scheduler.setCondition(session.id, Condition.Closed)
    this.parts.scheduler.removeMachine(session.id)
  }
}
