/**
 * Transfers parts of teams' upper limits between shards. A transfer is permanent, and an amount comes back only by another
 * transfer. Messages and stored records call a transfer a loan, which one shard lends and the other borrows; no loan has to be
 * returned. The giver first records the lowered allotment of its own shard in the log. The receiver can use the amount only
 * after that, so the two shards of one transfer never both use it. If the giver's answer to the borrow request is lost,
 * neither shard can use the amount until the giver sends the transfer again. A transfer is unsettled until the giver has
 * recorded that the receiver recorded it.
 */
import type { Clock } from '@fireflymount/service-clients/clock'
import type { Manifest } from '@fireflymount/manifest/manifest'
import type { Scheduler, BlockedDemand } from '@fireflymount/policy/scheduler'
import type { TeamQuota } from '@fireflymount/policy/task'
import { MessageKind, LoanCodec, type Allotment, type Borrow, type Loan, type Transfer } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import type { Metrics } from '../metrics.js'
import type { Router } from '../peer/router.js'
import { mapAllotment, type Allotments } from './allotments.js'
import { ChangeKind } from './change.js'
import type { JournalWriter } from './journal-writer.js'
import { transferKey, type ShardState, type UnsettledTransfer } from './state.js'
import { stopProcess } from '../stop-process.js'

/**
 * Minimum interval between two borrow requests for one team to one shard. Also the retry delay in the refusals of this file; a
 * refusal for lack of unused allotment has none.
 */
const MIN_BORROW_INTERVAL_MS = 500
const BORROW_TIMEOUT_MS = 1000
/** Minimum interval between two Transfer messages for one unsettled transfer. */
const MIN_TRANSFER_INTERVAL_MS = 2000
const COMMIT_TIMEOUT_MS = 1000
/**
 * A borrow request asks for enough to start the blocked task or gang this many times. A busy team thus does not send one request
 * for each task.
 */
const BORROW_AHEAD_FACTOR = 4

/** Constructor arguments of `Transfers`. */
export interface TransfersOptions {
  readonly shard: string
  readonly scheduler: Scheduler
  readonly journal: JournalWriter
  readonly state: ShardState
  readonly allotments: Allotments
  readonly router: Router
  readonly manifest: () => Manifest
  readonly clock: Clock
  readonly metrics: Metrics
  /** Returns the capacity of workers not adopted yet, where former owners' tasks may run. */
  readonly unadoptedCapacity: () => Allotment
  /** Called when an allotment of this shard changed. */
  readonly onChange: () => void
}

/** An amount that is about to be given to another shard. */
interface PendingTransfer {
  readonly team: string
  readonly amount: Allotment
}

/** The transfers to and from one shard. */
export class Transfers {
  private readonly borrowRequestedAtMs = new Map<string, number>()
  private readonly transferSentAtMs = new Map<string, number>()
  /** Amounts whose transfer is being committed: until then no task may use them. */
  private readonly pending = new Map<string, PendingTransfer>()

  constructor (private readonly options: TransfersOptions) {}

  /** Requests from other shards what teams lack in this one, and sends unsettled transfers again. */
  reconcile (): void {
    if (!this.options.journal.available()) return
    for (const blocked of this.options.scheduler.allotmentShortages()) this.borrow(blocked)
    for (const transfer of this.options.state.loans.values()) this.retryTransfer(transfer)
  }

  /** Returns shares and allotments for the scheduler, less amounts being given away and the capacity of unadopted workers. */
  quotas (): TeamQuota[] {
    const quotas = this.options.allotments.quotas(this.options.state, this.options.clock.now())
    const unadoptedCapacity = this.options.unadoptedCapacity()
    return quotas.map((quota) => ({ ...quota, allotment: this.usableAllotment(quota, unadoptedCapacity) }))
  }

  /** Gives part of a team's allotment to another shard, if this shard does not use it. */
  async give (request: Borrow): Promise<Result<Loan, Refusal>> {
    const key = transferKey(request.to, request.team)
    const unsettled = this.options.state.loans.get(key)
    if (unsettled !== undefined) return ok({ id: String(unsettled.sequence), amount: unsettled.amount })
    if (this.pending.has(key)) {
      return err(refuse(
        Reason.LimitReached,
        'A transfer for the same team to the same shard is already in progress.',
        MIN_BORROW_INTERVAL_MS
      ))
    }
    const amount = this.givableAmount(request)
    if (amount === undefined) {
      return err(refuse(Reason.LimitReached, `The shard ${this.options.shard} has no unused allotment to lend.`))
    }
    this.pending.set(key, { team: request.team, amount })
    this.options.onChange()
    const sequence = (this.options.state.lent.get(key) ?? 0) + 1
    const written = await this.options.journal.commit(
      { kind: ChangeKind.Lent, to: request.to, team: request.team, sequence, amount },
      COMMIT_TIMEOUT_MS
    )
    this.pending.delete(key)
    this.options.onChange()
    if (written.isErr()) return err(refuse(Reason.LogUnavailable, 'The transfer was not written.', MIN_BORROW_INTERVAL_MS))
    this.options.metrics.count('allotment.lent')
    return ok({ id: String(sequence), amount })
  }

  /** Records a transfer to this shard; a repeated transfer has no further effect. */
  async receive (transfer: Transfer): Promise<Result<Loan, Refusal>> {
    const sequence = Number(transfer.id)
    const received = this.options.state.borrowed.get(transferKey(transfer.from, transfer.team)) ?? 0
    if (sequence <= received) return ok({ id: transfer.id })
    const written = await this.options.journal.commit(
      { kind: ChangeKind.Borrowed, from: transfer.from, team: transfer.team, sequence, amount: transfer.amount },
      COMMIT_TIMEOUT_MS
    )
    if (written.isErr()) return err(refuse(Reason.LogUnavailable, 'The transfer was not written.', MIN_BORROW_INTERVAL_MS))
    this.options.metrics.count('allotment.borrowed')
    this.options.onChange()
    return ok({ id: transfer.id })
  }

  private borrow (blocked: BlockedDemand): void {
    const now = this.options.clock.now()
    for (const upstream of this.options.manifest().upstreams) {
      if (upstream.name === this.options.shard) continue
      const key = transferKey(upstream.name, blocked.team)
      if (now - (this.borrowRequestedAtMs.get(key) ?? -Infinity) < MIN_BORROW_INTERVAL_MS) continue
      this.borrowRequestedAtMs.set(key, now)
      this.borrowFrom(upstream.name, blocked).catch(stopProcess)
    }
  }

  private async borrowFrom (giver: string, blocked: BlockedDemand): Promise<void> {
    const answer = await this.options.router.askOwner(giver, {
      kind: MessageKind.Borrow,
      from: giver,
      to: this.options.shard,
      team: blocked.team,
      amount: this.borrowAmount(blocked)
    }, BORROW_TIMEOUT_MS)
    if (answer.isErr()) return
    const loan = LoanCodec.decode(answer.value).extract() as Loan | string
    if (typeof loan === 'string' || loan.id === undefined || loan.amount === undefined) return
    await this.receive({
      kind: MessageKind.Transfer,
      id: loan.id,
      from: giver,
      to: this.options.shard,
      team: blocked.team,
      amount: loan.amount
    })
  }

  /**
   * Returns the amount to ask for, which would let the blocked demand start `BORROW_AHEAD_FACTOR` times; 0 in dimensions without
   * a limit.
   */
  private borrowAmount (blocked: BlockedDemand): Allotment {
    const allotment = this.options.allotments.allotment(blocked.team, this.options.state, this.options.clock.now())
    const used = this.options.scheduler.usedBy(blocked.team)
    const need = { tasks: blocked.tasks, ...blocked.size }
    return mapAllotment((dimension) => {
      if (allotment[dimension] === Infinity) return 0
      return Math.max(0, used[dimension] + need[dimension] * BORROW_AHEAD_FACTOR - allotment[dimension])
    })
  }

  /** Returns how much of a requested amount this shard can give, or undefined if it can give nothing. */
  private givableAmount (request: Borrow): Allotment | undefined {
    if (this.options.scheduler.allotmentShortages().some((blocked) => blocked.team === request.team)) return undefined
    const allotment = this.options.allotments.allotment(request.team, this.options.state, this.options.clock.now())
    const used = this.options.scheduler.usedBy(request.team)
    const amount = mapAllotment((dimension) => {
      if (allotment[dimension] === Infinity) return 0
      return Math.max(0, Math.min(request.amount[dimension], allotment[dimension] - used[dimension]))
    })
    const useful = (Object.keys(amount) as Array<keyof Allotment>).some((dimension) => amount[dimension] > 0)
    return useful ? amount : undefined
  }

  private usableAllotment (quota: TeamQuota, unadoptedCapacity: Allotment): Allotment {
    let allotment = mapAllotment((dimension) => quota.allotment[dimension] - unadoptedCapacity[dimension])
    for (const pending of this.pending.values()) {
      if (pending.team !== quota.team) continue
      const before = allotment
      allotment = mapAllotment((dimension) => before[dimension] - pending.amount[dimension])
    }
    return allotment
  }

  private retryTransfer (transfer: UnsettledTransfer): void {
    const key = transferKey(transfer.to, transfer.team)
    const now = this.options.clock.now()
    if (now - (this.transferSentAtMs.get(key) ?? -Infinity) < MIN_TRANSFER_INTERVAL_MS) return
    this.transferSentAtMs.set(key, now)
    this.sendTransfer(transfer).catch(stopProcess)
  }

  private async sendTransfer (transfer: UnsettledTransfer): Promise<void> {
    const answer = await this.options.router.askOwner(transfer.to, {
      kind: MessageKind.Transfer,
      id: String(transfer.sequence),
      from: this.options.shard,
      to: transfer.to,
      team: transfer.team,
      amount: transfer.amount
    }, BORROW_TIMEOUT_MS)
    if (answer.isErr()) return
    await this.options.journal.commit(
      { kind: ChangeKind.Settled, to: transfer.to, team: transfer.team, sequence: transfer.sequence },
      COMMIT_TIMEOUT_MS
    )
  }
}
