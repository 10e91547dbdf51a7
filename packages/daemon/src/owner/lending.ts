/**
 * Moves parts of teams' upper limits between shards. The giver lowers its own part in the log first; a transfer whose
 * answer is lost loses room until the giver repeats it, and never doubles it.
 */
import type { Clock } from '@fireflymount/platform/clock'
import type { Manifest } from '@fireflymount/manifest/manifest'
import type { Scheduler, Shortage } from '@fireflymount/policy/scheduler'
import type { Claim } from '@fireflymount/policy/task'
import { Kind, LoanCodec, type Allotment, type Borrow, type Loan as LoanAnswer, type Transfer } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import type { Metrics } from '../counters.js'
import type { Router } from '../peer/router.js'
import { mapAllotment, type Allotments } from './allotments.js'
import { ChangeKind } from './change.js'
import type { Ledger } from './ledger.js'
import { transferKey, type Loan, type ShardState } from './state.js'
import { stopProcess } from '../invariant.js'

/** Shortest time between two requests of one team to one shard. */
const BORROW_INTERVAL_MS = 500
const BORROW_TIMEOUT_MS = 1000
/** Time after which a transfer that is not known to have arrived is repeated. */
const SETTLE_INTERVAL_MS = 2000
const COMMIT_PATIENCE_MS = 1000
/** More tasks than the next one are asked for at once, so that a busy team does not ask for each. */
const TASKS_AHEAD = 4

/** What lending needs of its owner. */
export interface LendingParts {
  readonly shard: string
  readonly scheduler: Scheduler
  readonly journal: Ledger
  readonly state: ShardState
  readonly allotments: Allotments
  readonly router: Router
  readonly manifest: () => Manifest
  readonly clock: Clock
  readonly metrics: Metrics
  /** What former owners may have running that this owner does not know of. */
  readonly uncertain: () => Allotment
  /** An allotment of this shard changed. */
  readonly onChange: () => void
}

interface Pending {
  readonly team: string
  readonly amount: Allotment
}

/** Transfers of one shard. */
export class Lending {
  private readonly askedAtMs = new Map<string, number>()
  private readonly settledAtMs = new Map<string, number>()
  /** Amounts whose transfer is being written: nothing may start on them meanwhile. */
  private readonly pending = new Map<string, Pending>()

  constructor (private readonly parts: LendingParts) {}

  /** Asks other shards for what teams lack here, and repeats transfers that may be lost. */
  keepUp (): void {
    if (!this.parts.journal.available()) return
    for (const shortage of this.parts.scheduler.shortages()) this.borrow(shortage)
    for (const loan of this.parts.state.loans.values()) this.repeat(loan)
  }

  /** Shares and allotments for the scheduler, without what is being given away or may be in use unknown to it. */
  claims (): Claim[] {
    const claims = this.parts.allotments.claims(this.parts.state, this.parts.clock.now())
    const uncertain = this.parts.uncertain()
    return claims.map((claim) => ({ ...claim, allotment: this.available(claim, uncertain) }))
  }

  /** Gives another shard part of a team's allotment, if this shard does not use it. */
  async lend (request: Borrow): Promise<Result<LoanAnswer, Refusal>> {
    const key = transferKey(request.to, request.team)
    const unsettled = this.parts.state.loans.get(key)
    if (unsettled !== undefined) return ok({ id: String(unsettled.sequence), amount: unsettled.amount })
    if (this.pending.has(key)) return err(refuse(Reason.LimitReached, 'A transfer is under way.', BORROW_INTERVAL_MS))
    const amount = this.spare(request)
    if (amount === undefined) return err(refuse(Reason.LimitReached, `The shard ${this.parts.shard} has nothing to spare.`))
    this.pending.set(key, { team: request.team, amount })
    this.parts.onChange()
    const sequence = (this.parts.state.lent.get(key) ?? 0) + 1
    const written = await this.parts.journal.commit(
      { kind: ChangeKind.Lent, to: request.to, team: request.team, sequence, amount },
      COMMIT_PATIENCE_MS
    )
    this.pending.delete(key)
    this.parts.onChange()
    if (written.isErr()) return err(refuse(Reason.LogUnavailable, 'The transfer was not written.', BORROW_INTERVAL_MS))
    this.parts.metrics.count('allotment.lent')
    return ok({ id: String(sequence), amount })
  }

  /** Takes a transfer in; a repeat has no further effect. */
  async take (transfer: Transfer): Promise<Result<LoanAnswer, Refusal>> {
    const sequence = Number(transfer.id)
    const taken = this.parts.state.borrowed.get(transferKey(transfer.from, transfer.team)) ?? 0
    if (sequence <= taken) return ok({ id: transfer.id })
    const written = await this.parts.journal.commit(
      { kind: ChangeKind.Borrowed, from: transfer.from, team: transfer.team, sequence, amount: transfer.amount },
      COMMIT_PATIENCE_MS
    )
    if (written.isErr()) return err(refuse(Reason.LogUnavailable, 'The transfer was not written.', BORROW_INTERVAL_MS))
    this.parts.metrics.count('allotment.borrowed')
    this.parts.onChange()
    return ok({ id: transfer.id })
  }

  private borrow (shortage: Shortage): void {
    const now = this.parts.clock.now()
    for (const upstream of this.parts.manifest().upstreams) {
      if (upstream.name === this.parts.shard) continue
      const key = transferKey(upstream.name, shortage.team)
      if (now - (this.askedAtMs.get(key) ?? -Infinity) < BORROW_INTERVAL_MS) continue
      this.askedAtMs.set(key, now)
      this.borrowFrom(upstream.name, shortage).catch(stopProcess)
    }
  }

  private async borrowFrom (giver: string, shortage: Shortage): Promise<void> {
    const answer = await this.parts.router.ask(giver, {
      kind: Kind.Borrow,
      from: giver,
      to: this.parts.shard,
      team: shortage.team,
      amount: this.wanted(shortage)
    }, BORROW_TIMEOUT_MS)
    if (answer.isErr()) return
    const loan = LoanCodec.decode(answer.value).extract() as LoanAnswer | string
    if (typeof loan === 'string' || loan.id === undefined || loan.amount === undefined) return
    await this.take({
      kind: Kind.Transfer,
      id: loan.id,
      from: giver,
      to: this.parts.shard,
      team: shortage.team,
      amount: loan.amount
    })
  }

  /** The amount that would let the next tasks start: nothing in dimensions without a limit. */
  private wanted (shortage: Shortage): Allotment {
    const allotment = this.parts.allotments.allotment(shortage.team, this.parts.state, this.parts.clock.now())
    const used = this.parts.scheduler.used(shortage.team)
    const need = { tasks: shortage.tasks, ...shortage.size }
    return mapAllotment((dimension) => {
      if (allotment[dimension] === Infinity) return 0
      return Math.max(0, used[dimension] + need[dimension] * TASKS_AHEAD - allotment[dimension])
    })
  }

  /** What this shard can spare of an amount asked for, or undefined if that helps nobody. */
  private spare (request: Borrow): Allotment | undefined {
    if (this.parts.scheduler.shortages().some((shortage) => shortage.team === request.team)) return undefined
    const allotment = this.parts.allotments.allotment(request.team, this.parts.state, this.parts.clock.now())
    const used = this.parts.scheduler.used(request.team)
    const amount = mapAllotment((dimension) => {
      if (allotment[dimension] === Infinity) return 0
      return Math.max(0, Math.min(request.amount[dimension], allotment[dimension] - used[dimension]))
    })
    const useful = (Object.keys(amount) as Array<keyof Allotment>).some((dimension) => amount[dimension] > 0)
    return useful ? amount : undefined
  }

  private available (claim: Claim, uncertain: Allotment): Allotment {
    let allotment = mapAllotment((dimension) => claim.allotment[dimension] - uncertain[dimension])
    for (const pending of this.pending.values()) {
      if (pending.team !== claim.team) continue
      const before = allotment
      allotment = mapAllotment((dimension) => before[dimension] - pending.amount[dimension])
    }
    return allotment
  }

  private repeat (loan: Loan): void {
    const key = transferKey(loan.to, loan.team)
    const now = this.parts.clock.now()
    if (now - (this.settledAtMs.get(key) ?? -Infinity) < SETTLE_INTERVAL_MS) return
    this.settledAtMs.set(key, now)
    this.settle(loan).catch(stopProcess)
  }

  private async settle (loan: Loan): Promise<void> {
    const answer = await this.parts.router.ask(loan.to, {
      kind: Kind.Transfer,
      id: String(loan.sequence),
      from: this.parts.shard,
      to: loan.to,
      team: loan.team,
      amount: loan.amount
    }, BORROW_TIMEOUT_MS)
    if (answer.isErr()) return
    await this.parts.journal.commit(
      { kind: ChangeKind.Settled, to: loan.to, team: loan.team, sequence: loan.sequence },
      COMMIT_PATIENCE_MS
    )
  }
}
