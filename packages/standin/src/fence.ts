/**
 * The epoch that a stand-in worker holds, and the refusals that follow from it.
 */
import { WorkerFailure, type WorkerError } from '@fireflymount/platform/worker'
import { compareEpochs, NO_EPOCH, type Epoch } from '@fireflymount/protocol/epoch'
import { err, ok, type Result } from 'neverthrow'
import { Event, type Record } from './record.js'

/** Refuses commands of former owners, and of owners that did not adopt the worker. */
export class Fence {
  private epoch: Epoch = NO_EPOCH

  /** @param record receives every refusal */
  constructor (private readonly record: Record) {}

  /** Forgets the epoch. */
  clear (): void {
    this.epoch = NO_EPOCH
  }

  /** Takes an epoch that is not older than the present one. */
  adopt (epoch: Epoch): Result<void, WorkerError> {
    const current = this.checkAge(epoch, 'adopt')
    if (current.isErr()) return current
    this.epoch = epoch
    return ok(undefined)
  }

  /** Whether an epoch is the adopted one. */
  isOwner (epoch: Epoch): boolean {
    return compareEpochs(epoch, this.epoch) === 0
  }

  /** Refuses an epoch that is older than the adopted one. */
  checkAge (epoch: Epoch, task: string): Result<void, WorkerError> {
    if (compareEpochs(epoch, this.epoch) >= 0) return ok(undefined)
    const detail = 'The epoch is older than the worker\'s.'
    this.note(epoch, task, WorkerFailure.StaleEpoch)
    return err({ failure: WorkerFailure.StaleEpoch, detail, epoch: this.epoch })
  }

  /** Refuses every epoch but the adopted one. */
  checkOwner (epoch: Epoch, task: string): Result<void, WorkerError> {
    const current = this.checkAge(epoch, task)
    if (current.isErr()) return current
    if (this.isOwner(epoch)) return ok(undefined)
    return this.refuse(epoch, task, WorkerFailure.Refused, 'Adopt the worker before any other command.')
  }

  /** Refuses a command of the owner. */
  refuse (epoch: Epoch, task: string, failure: WorkerFailure, detail: string): Result<never, WorkerError> {
    this.note(epoch, task, failure)
    return err({ failure, detail })
  }

  private note (epoch: Epoch, task: string, failure: WorkerFailure): void {
    this.record.add(Event.Refused, { epoch, task, outcome: failure })
  }
}
