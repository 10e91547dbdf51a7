/**
 * The platform's lagging list of VMs.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Result } from 'neverthrow'

/** What a VM is for. */
export enum VmRole {
  /** Runs a daemon of fireflymount. */
  Entry = 'entry',
  /** Runs an upstream's worker. */
  Worker = 'worker'
}

/** What the platform says of a VM. */
export enum VmState {
  Live = 'live',
  /** Still works, and will be stopped. */
  Leaving = 'leaving',
  /** Terminated for good: nothing on it runs any more. */
  Gone = 'gone'
}

/** One VM of the list. */
export interface Vm {
  readonly id: string
  readonly role: VmRole
  readonly state: VmState
  /** IP address and port: of the worker's API, or of the daemon's inner protocol. */
  readonly address: string
  readonly zone: string
  readonly rack: string
  /** With VmRole.Worker: the upstream that it belongs to. */
  readonly upstream?: string
  /** With VmRole.Worker. */
  readonly resources?: Resources
  /** With VmRole.Worker: how many tasks it runs at once. */
  readonly slots?: number
}

/** The list of VMs, at most some seconds old. */
export abstract class Machines {
  /** @returns every VM that the platform knows, or a sentence that says why there is no answer */
  abstract list (): Promise<Result<readonly Vm[], string>>
}
