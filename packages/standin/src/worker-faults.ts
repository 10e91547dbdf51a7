/**
 * Injected faults of a stand-in worker.
 */
import { Codec, boolean, enumeration, number, optional, type GetType } from 'purify-ts/Codec'

/** The calls to the worker's API: commands and requests. */
export enum Call {
  Adopt = 'adopt',
  Start = 'start',
  Stop = 'stop',
  Throttle = 'throttle',
  Renew = 'renew',
  Request = 'request'
}

/** A change of the injected faults. Fields that are absent do not change. */
export const WorkerFaultCodec = Codec.interface({
  /** Limits all current and later `slowMs`, `lateMs` and counted faults to this kind of call, until the faults are cleared. */
  command: optional(enumeration(Call)),
  /** Every task that starts and every request that ends fails. */
  failAll: optional(boolean),
  /**
   * Freezes the worker's API: calls that arrive take effect only once it is thawed, and no response is sent before. Meanwhile
   * tasks that run still end, and leases expire.
   */
  freeze: optional(boolean),
  /**
   * Closes the connection of every call. A call that arrives has no effect, but one that was frozen or delayed before may still
   * take effect. What runs is lost.
   */
  dead: optional(boolean),
  /** Delay before a call takes effect. */
  slowMs: optional(number),
  /** Delay of the response, after the call took effect. */
  lateMs: optional(number),
  /** Number of the next calls that take effect but whose connection is closed without a response. */
  lostAnswers: optional(number),
  /** Number of the next calls whose connection is closed after half of the body of the response. */
  halfAnswers: optional(number),
  /** Number of the next requests that receive the response to another request. */
  crossedAnswers: optional(number)
})

/** A change of the injected faults. */
export type WorkerFault = Partial<GetType<typeof WorkerFaultCodec>>

/** How the response to a call is delivered. */
export enum Delivery {
  Complete = 'whole',
  Lost = 'lost',
  Half = 'half',
  Crossed = 'crossed'
}

/** The injected faults of one worker. */
export class WorkerFaults {
  dead = false
  private affectedCall: Call | undefined
  private slowMs = 0
  private lateMs = 0
  private lostAnswers = 0
  private halfAnswers = 0
  private crossedAnswers = 0
  private thawed: Promise<void> | undefined
  private resolveThawed: (() => void) | undefined

  /** Changes the faults. */
  set (fault: WorkerFault): void {
    this.affectedCall = fault.command ?? this.affectedCall
    this.dead = fault.dead ?? this.dead
    this.slowMs = fault.slowMs ?? this.slowMs
    this.lateMs = fault.lateMs ?? this.lateMs
    this.lostAnswers = fault.lostAnswers ?? this.lostAnswers
    this.halfAnswers = fault.halfAnswers ?? this.halfAnswers
    this.crossedAnswers = fault.crossedAnswers ?? this.crossedAnswers
    if (fault.freeze === true) this.freeze()
    if (fault.freeze === false) this.unfreeze()
  }

  /** Removes all faults. */
  clear (): void {
    this.unfreeze()
    this.affectedCall = undefined
    this.dead = false
    this.slowMs = 0
    this.lateMs = 0
    this.lostAnswers = 0
    this.halfAnswers = 0
    this.crossedAnswers = 0
  }

  /** Waits until the worker is thawed; undefined if it is not frozen. */
  waitUntilThawed (): Promise<void> | undefined {
    return this.thawed
  }

  /** @returns the delay before a call takes effect */
  delayMs (call: Call): number {
    return this.appliesTo(call) ? this.slowMs : 0
  }

  /** @returns the delay of the response to a call */
  responseDelayMs (call: Call): number {
    return this.appliesTo(call) ? this.lateMs : 0
  }

  /** Determines how the response to a call is delivered, and counts down the counted faults. */
  nextDelivery (call: Call): Delivery {
    if (!this.appliesTo(call)) return Delivery.Complete
    if (this.lostAnswers > 0) {
      this.lostAnswers -= 1
      return Delivery.Lost
    }
    if (this.halfAnswers > 0) {
      this.halfAnswers -= 1
      return Delivery.Half
    }
    if (this.crossedAnswers > 0 && call === Call.Request) {
      this.crossedAnswers -= 1
      return Delivery.Crossed
    }
    return Delivery.Complete
  }

  private appliesTo (call: Call): boolean {
    return this.affectedCall === undefined || this.affectedCall === call
  }

  private freeze (): void {
    this.thawed ??= new Promise((resolve) => {
      this.resolveThawed = resolve
    })
  }

  private unfreeze (): void {
    this.resolveThawed?.()
    this.resolveThawed = undefined
    this.thawed = undefined
  }
}
