/**
 * Appends this process's claims of the cell. A claim is held once its append was answered, or once it was read in the journal: a store
 * that is slow or loses answers may show the claim long before it answers the append.
 */
import type { Clock, Stamp } from '../clock.js'
import { Subject, encodeRecord, type OwnerClaim } from '../journal/record.js'
import { StoreFailure, Topic, type KeyedRecord, type Store } from '../ports/store.js'

/** Maximum number of appends of one claim, all with the same sequence number. */
const MAX_CLAIM_ATTEMPTS = 4
/** Bound of the random first sequence number, which distinguishes two claims of the same epoch. */
const MAX_FIRST_SEQUENCE = 2 ** 30

/** How it became known that a claim is held. */
export enum ClaimProof {
  /** The store answered the append. */
  Answered = 'held',
  /** The claim was read in the journal. */
  Read = 'read'
}

/** A claim that may be in the journal, or may still be written. */
interface Attempt {
  readonly epoch: number
  readonly sequence: number
  readonly onRead: () => void
  readonly read: Promise<ClaimProof>
  /** When the request was sent whose answer showed that the claim is held; undefined if none has. */
  heldAt: Stamp | undefined
}

/** A claim that is held. */
export interface HeldClaim {
  /** Sequence number of the owner's first append. */
  readonly sequence: number
  /** A time at which the claim was certainly the newest one: that of the request whose answer showed it. */
  readonly heldAt: Stamp
}

/** The claims of one process. */
export class Claimant {
  /** The last claim, until the ownership is taken. */
  private attempt: Attempt | undefined

  constructor (
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly node: string,
    private readonly incarnation: string,
    private readonly startedMs: number
  ) {}

  /**
   * Claims the cell. A claim of the same epoch as before is repeated under its sequence number, so that it takes effect once.
   *
   * @param epoch epoch of the claim, above that of the newest claim in the journal
   * @returns how it is known that the claim is held, or why it is not known to be held. After a lost answer it may still be written
   */
  async claim (epoch: number): Promise<ClaimProof | StoreFailure> {
    if (this.attempt?.epoch !== epoch) this.attempt = createAttempt(epoch)
    const { node, incarnation, startedMs } = this
    const claim: OwnerClaim = { epoch, node, incarnation, startedMs }
    const record = encodeRecord(Subject.Owner, 'cell', claim)
    return await Promise.race([this.append(record, this.attempt), this.attempt.read])
  }

  private async append (record: KeyedRecord, attempt: Attempt): Promise<ClaimProof | StoreFailure> {
    const { epoch, sequence } = attempt
    let failure = StoreFailure.NoAnswer
    for (let count = 0; count < MAX_CLAIM_ATTEMPTS && this.attempt === attempt; count++) {
      const sentAt = this.clock.stamp()
      const appended = await this.store.append(Topic.Journal, [record], { epoch, sequence })
      if (appended.isOk()) {
        attempt.heldAt ??= sentAt
        return ClaimProof.Answered
      }
      failure = appended.error
      if (failure !== StoreFailure.NoAnswer) break
    }
    return failure
  }

  /**
   * Notes the newest claim in the journal, whichever process made it.
   *
   * @param readAt when the read was sent
   */
  onClaimRead (claim: OwnerClaim, readAt: Stamp): void {
    if (this.attempt === undefined || !this.holds(claim)) return
    this.attempt.heldAt = readAt
    this.attempt.onRead()
  }

  /** True if a claim in the journal is the last one of this process, and its ownership was not taken yet. */
  holds (claim: OwnerClaim): boolean {
    return claim.incarnation === this.incarnation && claim.epoch === this.attempt?.epoch
  }

  /**
   * Takes the ownership of the last claim.
   *
   * @returns the claim, or undefined if it is not known to be held
   */
  take (): HeldClaim | undefined {
    const { sequence, heldAt } = this.attempt ?? {}
    this.attempt = undefined
    return sequence === undefined || heldAt === undefined ? undefined : { sequence: sequence + 1, heldAt }
  }
}

function createAttempt (epoch: number): Attempt {
  let onRead = (): void => {}
  const read = new Promise<ClaimProof>((resolve) => { onRead = () => { resolve(ClaimProof.Read) } })
  return { epoch, sequence: Math.floor(Math.random() * MAX_FIRST_SEQUENCE), onRead, read, heldAt: undefined }
}
