/**
 * The platform's list of machines, and orders for them.
 */
import type { Result } from 'neverthrow'
import type { Resources } from '@fireflymount/protocol/resources'

/** What a machine is doing. */
export enum MachineState {
  Up = 'up',
  Moving = 'moving',
  Upkeep = 'upkeep',
  Down = 'down'
}

/** A machine. A worker is one life of it. */
export interface Machine {
  readonly name: string
  readonly upstream: string
  readonly state: MachineState
  readonly zone: string
  readonly labels: readonly string[]
  readonly capacity: Resources
  /** Id of the machine's worker; empty if it has none. */
  readonly worker: string
}

/** Why a call about machines failed. */
export enum MachineFailure {
  NoAnswer = 'no-answer',
  /** Too many calls, or the platform cannot serve now; nothing was done. */
  Refused = 'refused',
  /** A higher fencing token was seen for the machine. */
  Fenced = 'fenced',
  /** The machine is not up, or its worker is leaving. */
  Busy = 'busy',
  Invalid = 'invalid'
}

/** Names the holder of an order, so that orders of earlier owners have no effect. */
export interface Holder {
  readonly node: string
  readonly fence: number
}

/** The machines of the platform. */
export abstract class Machines {
  /** Lists all machines. */
  abstract list (): Promise<Result<Machine[], MachineFailure>>
  /** Moves a machine to another upstream; all that runs on it ends. */
  abstract move (machine: string, upstream: string, holder: Holder): Promise<Result<void, MachineFailure>>
  /** Takes a machine down for the upkeep of a wave; all that runs on it ends. */
  abstract upkeep (machine: string, wave: number, holder: Holder): Promise<Result<void, MachineFailure>>
}
