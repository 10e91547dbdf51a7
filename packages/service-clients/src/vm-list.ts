/**
 * The platform's list of VMs, which lags behind the actual state.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Result } from 'neverthrow'

/** The purpose of a VM. */
export enum VmRole {
  /** Runs a daemon of fireflymount, which accepts callers' requests. */
  Entry = 'entry',
  /** Runs an upstream's worker. */
  Worker = 'worker'
}

/** State of a VM as the platform reports it. */
export enum VmState {
  Live = 'live',
  /** Still runs, and will be terminated. */
  Leaving = 'leaving',
  /** Terminated: nothing runs on it any more. */
  Gone = 'gone'
}

/** One VM of the list. */
export interface Vm {
  readonly id: string
  readonly role: VmRole
  readonly state: VmState
  /** IP address and port: of the worker's API, or of the daemon's protocol between nodes. */
  readonly address: string
  readonly zone: string
  readonly rack: string
  /** With VmRole.Worker: the upstream that it belongs to. */
  readonly upstream?: string
  /** With VmRole.Worker: the resources that its tasks and requests can use together. */
  readonly resources?: Resources
  /** With VmRole.Worker: the number of tasks and requests that it can run concurrently. */
  readonly slots?: number
}

/** The list of VMs. It is at most a few seconds old. */
export abstract class VmList {
  /** @returns every VM that the platform knows, or an error message */
  abstract list (): Promise<Result<readonly Vm[], string>>
}
