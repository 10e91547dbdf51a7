/**
 * The epoch under which a stand-in worker was adopted, and the check of commands against it.
 */
import { WorkerFailure, type Adoption, type WorkerError } from '@fireflymount/service-clients/worker'
import { compareEpochs, NO_EPOCH, type Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import { Event, type EventHistory } from './event-history.js'

/**
 * Refuses commands of former owners and of owners that have not adopted this incarnation of the worker. A renewal without the
 * adoption is the exception: it gets a response but changes nothing.
 */
export class Fence {
  private epoch: Epoch = NO_EPOCH

  /** @param history receives every refusal */
  constructor (private readonly history: EventHistory) {}

  /** Resets the epoch, as after a restart. */
  clear (): void {
    this.epoch = NO_EPOCH
  }

  /** Adopts the worker under an epoch, unless it is older than the current one. */
  adopt (epoch: Epoch): Result<void, WorkerError> {
    const check = this.refuseIfOlder(epoch, 'adopt')
    if (check.isErr()) return check
    this.epoch = epoch
    return ok(undefined)
  }

  /** Returns whether an adoption is that of the worker's present incarnation. */
  isAdopted ({ epoch, boot }: Adoption): boolean {
    return boot === this.history.boot && compareEpochs(epoch, this.epoch) === 0
  }

  /**
   * Refuses a command or request whose epoch is older than that under which the worker was adopted.
   *
   * @param epoch epoch of the command or request
   * @param taskOrCommand id of the task or request; for `adopt` and `renew` the command's name
   * @returns the error of the refusal, if any
   */
  refuseIfOlder (epoch: Epoch, taskOrCommand: string): Result<void, WorkerError> {
    if (compareEpochs(epoch, this.epoch) >= 0) return ok(undefined)
    const detail = 'The epoch is older than the worker\'s.'
    this.recordRefusal(epoch, taskOrCommand, WorkerFailure.StaleEpoch)
    return err({ failure: WorkerFailure.StaleEpoch, detail, epoch: this.epoch })
  }

  /**
   * Refuses a command or request under any adoption but that of the worker's present incarnation.
   *
   * @param adoption the adoption that the command or request was sent under
   * @param taskOrCommand id of the task or request
   * @returns the error of the refusal, if any
   */
  refuseUnlessAdopted (adoption: Adoption, taskOrCommand: string): Result<void, WorkerError> {
    const check = this.refuseIfOlder(adoption.epoch, taskOrCommand)
    if (check.isErr()) return check
    if (this.isAdopted(adoption)) return ok(undefined)
    const detail = 'Adopt this incarnation of the worker under this epoch before any other command or request.'
    return this.refuse(adoption.epoch, taskOrCommand, WorkerFailure.Refused, detail)
  }

  /** Records a refusal and creates its error. */
  refuse (epoch: Epoch, taskOrCommand: string, failure: WorkerFailure, detail: string): Result<never, WorkerError> {
    this.recordRefusal(epoch, taskOrCommand, failure)
    return err({ failure, detail })
  }

  private recordRefusal (epoch: Epoch, taskOrCommand: string, failure: WorkerFailure): void {
    this.history.add(Event.Refused, { epoch, task: taskOrCommand, outcome: failure })
  }
}
