/**
 * The epoch under which a stand-in worker was adopted, and the check of commands against it.
 */
import { WorkerFailure, type WorkerError } from '@fireflymount/service-clients/worker'
import { compareEpochs, NO_EPOCH, type Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import { Event, type EventHistory } from './event-history.js'

/**
 * Refuses commands of former owners and of owners that have not adopted the worker. A renewal under a newer epoch is the
 * exception: it gets a response but extends no lease.
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

  /** Returns whether the worker is adopted under an epoch. */
  isAdopted (epoch: Epoch): boolean {
    return compareEpochs(epoch, this.epoch) === 0
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
   * Refuses a command or request under any epoch but that under which the worker was adopted.
   *
   * @param epoch epoch of the command or request
   * @param taskOrCommand id of the task or request
   * @returns the error of the refusal, if any
   */
  refuseUnlessAdopted (epoch: Epoch, taskOrCommand: string): Result<void, WorkerError> {
    const check = this.refuseIfOlder(epoch, taskOrCommand)
    if (check.isErr()) return check
    if (this.isAdopted(epoch)) return ok(undefined)
    return this.refuse(epoch, taskOrCommand, WorkerFailure.Refused, 'Adopt the worker under this epoch before any other command or request.')
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
