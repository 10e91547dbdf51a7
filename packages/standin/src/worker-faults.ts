/**
 * Fault switches of a stand-in worker.
 */
import { Codec, boolean, enumeration, number, optional, type GetType } from 'purify-ts/Codec'

/** The calls of the worker's API. */
export enum Command {
  Adopt = 'adopt',
  Start = 'start',
  Stop = 'stop',
  Throttle = 'throttle',
  Renew = 'renew',
  Request = 'request'
}

/** A change of the switches. Absent fields stay as they are. */
export const WorkerFaultCodec = Codec.interface({
  /** Applies `slowMs`, `lateMs` and the counted faults to this call only. */
  command: optional(enumeration(Command)),
  /** Every task and request that starts fails. */
  failAll: optional(boolean),
  /** Answers nothing; commands that arrive take effect after the thaw. Leases lapse meanwhile. */
  freeze: optional(boolean),
  /** Breaks every connection without an effect. */
  dead: optional(boolean),
  /** Delays the effect. */
  slowMs: optional(number),
  /** Delays the answer after the effect. */
  lateMs: optional(number),
  /** Number of calls to come that take effect and whose connection breaks without an answer. */
  lostAnswers: optional(number),
  /** Number of calls to come whose connection breaks after half of the answer. */
  halfAnswers: optional(number),
  /** Number of requests to come that are answered with the answer of another one. */
  crossedAnswers: optional(number)
})

/** A change of the switches. */
export type WorkerFault = Partial<GetType<typeof WorkerFaultCodec>>

/** What happens to the answer of a call. */
export enum Delivery {
  Whole = 'whole',
  Lost = 'lost',
  Half = 'half',
  Crossed = 'crossed'
}

/** The switches of one worker. */
export class WorkerFaults {
  dead = false
  private command: Command | undefined
  private slowMs = 0
  private lateMs = 0
  private lostAnswers = 0
  private halfAnswers = 0
  private crossedAnswers = 0
  private thawed: Promise<void> | undefined
  private thaw: (() => void) | undefined

  /** Changes the switches. */
  set (fault: WorkerFault): void {
    this.command = fault.command ?? this.command
    this.dead = fault.dead ?? this.dead
    this.slowMs = fault.slowMs ?? this.slowMs
    this.lateMs = fault.lateMs ?? this.lateMs
    this.lostAnswers = fault.lostAnswers ?? this.lostAnswers
    this.halfAnswers = fault.halfAnswers ?? this.halfAnswers
    this.crossedAnswers = fault.crossedAnswers ?? this.crossedAnswers
    if (fault.freeze === true) this.freeze()
    if (fault.freeze === false) this.unfreeze()
  }

  /** Switches everything off. */
  clear (): void {
    this.unfreeze()
    this.command = undefined
    this.dead = false
    this.slowMs = 0
    this.lateMs = 0
    this.lostAnswers = 0
    this.halfAnswers = 0
    this.crossedAnswers = 0
  }

  /** Resolves when the worker is not frozen; undefined if it is not. */
  frozen (): Promise<void> | undefined {
    return this.thawed
  }

  /** @returns the delay before a call takes effect */
  delayMs (command: Command): number {
    return this.appliesTo(command) ? this.slowMs : 0
  }

  /** @returns the delay of a call's answer */
  answerDelayMs (command: Command): number {
    return this.appliesTo(command) ? this.lateMs : 0
  }

  /** Decides what happens to the answer of a call. */
  deliver (command: Command): Delivery {
    if (!this.appliesTo(command)) return Delivery.Whole
    if (this.lostAnswers > 0) {
      this.lostAnswers -= 1
      return Delivery.Lost
    }
    if (this.halfAnswers > 0) {
      this.halfAnswers -= 1
      return Delivery.Half
    }
    if (this.crossedAnswers > 0 && command === Command.Request) {
      this.crossedAnswers -= 1
      return Delivery.Crossed
    }
    return Delivery.Whole
  }

  private appliesTo (command: Command): boolean {
    return this.command === undefined || this.command === command
  }

  private freeze (): void {
    this.thawed ??= new Promise((resolve) => {
      this.thaw = resolve
    })
  }

  private unfreeze (): void {
    this.thaw?.()
    this.thaw = undefined
    this.thawed = undefined
  }
}
