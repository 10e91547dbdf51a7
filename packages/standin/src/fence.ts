/**
 * The epoch under which a stand-in worker was adopted, and the check of commands against it.
 */
import { WorkerFailure, type WorkerError } from '@fireflymount/service-clients/worker'
import { compareEpochs, NO_EPOCH, type Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import { Event, type EventRecord } from './record.js'

/**
 * Refuses commands of former owners and of owners that have not adopted the worker. A renewal under a newer epoch is the
 * exception: it is answered without extending leases.
 */
export class Fence {
  private epoch: Epoch = NO_EPOCH

  /** @param record records every refusal */
  constructor (private readonly record: EventRecord) {}

  /** Resets the epoch, as after a restart. */
  clear (): void {
    this.epoch = NO_EPOCH
  }

  /** Adopts an epoch unless it is older than the current one. */
  adopt (epoch: Epoch): Result<void, WorkerError> {
    const current = this.checkAge(epoch, 'adopt')
    if (current.isErr()) return current
    this.epoch = epoch
    return ok(undefined)
  }

  /** Returns whether an epoch is the adopted one. */
  isAdopted (epoch: Epoch): boolean {
    return compareEpochs(epoch, this.epoch) === 0
  }

  /** Refuses an epoch that is older than the adopted one. */
  checkAge (epoch: Epoch, subject: string): Result<void, WorkerError> {
    if (compareEpochs(epoch, this.epoch) >= 0) return ok(undefined)
    const detail = 'The epoch is older than the worker\'s.'
    this.recordRefusal(epoch, subject, WorkerFailure.StaleEpoch)
    return err({ failure: WorkerFailure.StaleEpoch, detail, epoch: this.epoch })
  }

  /** Refuses every epoch but the adopted one. */
  checkOwner (epoch: Epoch, subject: string): Result<void, WorkerError> {
    const current = this.checkAge(epoch, subject)
    if (current.isErr()) return current
    if (this.isAdopted(epoch)) return ok(undefined)
    return this.refuse(epoch, subject, WorkerFailure.Refused, 'Adopt the worker under this epoch before any other command.')
  }

  /** Records a refusal and creates its error. */
  refuse (epoch: Epoch, subject: string, failure: WorkerFailure, detail: string): Result<never, WorkerError> {
    this.recordRefusal(epoch, subject, failure)
    return err({ failure, detail })
  }

  private recordRefusal (epoch: Epoch, subject: string, failure: WorkerFailure): void {
    this.record.add(Event.Refused, { epoch, task: subject, outcome: failure })
  }
}
