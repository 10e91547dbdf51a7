/**
 * Port to the platform's machines: their inventory and the commands on them.
 */
import type { Result } from 'neverthrow'
import type { Resources } from '@fireflymount/protocol/resources'

/** The state of a machine. */
export enum MachineState {
  Up = 'up',
  Moving = 'moving',
  Maintenance = 'upkeep',
  Down = 'down',
  /** The entry of the machine cannot be decoded, so that neither its name nor its worker is known. */
  Unknown = 'unknown'
}

/** A machine. Each start of the machine creates a worker with a new id. A worker that restarts under its id has a later `born`. */
export interface Machine {
  readonly name: string
  readonly upstream: string
  readonly state: MachineState
  readonly zone: string
  readonly labels: readonly string[]
  readonly capacity: Resources
  /** Id of the machine's current worker; empty if there is none. */
  readonly worker: string
}

/** Why a call to the machine service failed. */
export enum MachineFailure {
  NoAnswer = 'no-answer',
  /** The platform throttled the call or is unavailable; the call had no effect. */
  Refused = 'refused',
  /** The platform has seen a higher fencing token for the machine. */
  Fenced = 'fenced',
  /** The machine is not up, or its worker is draining. */
  Busy = 'busy',
  /** The platform rejected the call as invalid, its answer cannot be decoded, or no machine service is configured. */
  Invalid = 'invalid'
}

/** Identifies the owner that sends a command. The fence makes the platform refuse commands of earlier owners. */
export interface Holder {
  readonly node: string
  /** Fencing token: the epoch of the owner. */
  readonly fence: number
}

/** Client of the platform's machine service. */
export abstract class Machines {
  /** Lists all machines. */
  abstract list (): Promise<Result<Machine[], MachineFailure>>
  /** Moves a machine to another upstream; this ends all runs on it. Not used by this scheduler. */
  abstract move (machine: string, upstream: string, holder: Holder): Promise<Result<void, MachineFailure>>
  /**
   * Takes a machine down for maintenance; this ends all runs on it. Not used by this scheduler.
   *
   * @param wave number of the maintenance wave, a group of machines that are taken down together
   */
  abstract startMaintenance (machine: string, wave: number, holder: Holder): Promise<Result<void, MachineFailure>>
}
