/**
 * Admission control: limits the requests that are in progress on this node.
 */
import { err, ok, type Result } from 'neverthrow'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import type { ConfigurationIndex } from './configuration-index.js'

/** Fraction of the node's limit that one queue may use. */
const MAX_QUEUE_FRACTION = 0.75
/** Fraction of the node's limit from which on teams are limited to their shares. */
const SHARE_ENFORCEMENT_FRACTION = 0.5
const RETRY_AFTER_MS = 1000

/** The permission to have one request in progress. */
export interface AdmissionSlot {
  /** Releases the slot. Later calls do nothing. */
  release (): void
}

/** Counts requests in progress by node, queue and team. */
export class Admission {
  private total = 0
  private readonly byQueue = new Map<string, number>()
  private readonly byTeam = new Map<string, number>()

  constructor (private readonly configurationIndex: ConfigurationIndex, private readonly limit: number) {}

  /** @returns how many requests are in progress */
  inProgress (): number {
    return this.total
  }

  /**
   * Admits or refuses a request at once. While the node uses at least half of its limit, each team is limited too. A
   * team's limit is the node's limit times the team's share, divided by the sum of the shares of this team and of all others with
   * requests in progress. It is rounded up and is at least 1.
   *
   * @param team the team
   * @param queue the queue's name
   * @returns the slot, or the refusal
   */
  admit (team: string, queue: string): Result<AdmissionSlot, Refusal> {
    const checked = this.check(team, queue)
    if (checked.isErr()) return err(checked.error)
    this.adjustCounts(team, queue, 1)
    return ok(createSlot(() => this.adjustCounts(team, queue, -1)))
  }

  /**
   * Checks whether a request would be admitted, without admitting it.
   *
   * @param team the team
   * @param queue the queue's name
   * @returns nothing, or the refusal
   */
  check (team: string, queue: string): Result<void, Refusal> {
    if (this.total >= this.limit) return err(this.refuseOverloaded())
    if ((this.byQueue.get(queue) ?? 0) >= Math.ceil(this.limit * MAX_QUEUE_FRACTION)) {
      return err(refuse(Reason.Overloaded, `The queue "${queue}" has as many requests in progress as one queue may have on this node. Retry later.`, RETRY_AFTER_MS))
    }
    if (this.total >= this.limit * SHARE_ENFORCEMENT_FRACTION && (this.byTeam.get(team) ?? 0) >= this.teamLimit(team)) {
      return err(refuse(Reason.LimitReached, `This node is busy and the team "${team}" already has its share of requests in progress. Retry later.`, RETRY_AFTER_MS))
    }
    return ok()
  }

  /**
   * Admits or refuses a request whose team and queue are not known yet, such as a status request for a job.
   *
   * @returns the slot, or the refusal
   */
  admitUnattributed (): Result<AdmissionSlot, Refusal> {
    if (this.total >= this.limit) return err(this.refuseOverloaded())
    this.total++
    return ok(createSlot(() => { this.total-- }))
  }

  private refuseOverloaded (): Refusal {
    return refuse(Reason.Overloaded, `This node has ${this.limit} requests in progress, its limit. Try another node or retry later.`, RETRY_AFTER_MS)
  }

  private teamLimit (team: string): number {
    const own = this.configurationIndex.share(team)
    let sum = own
    for (const other of this.byTeam.keys()) {
      if (other !== team) sum += this.configurationIndex.share(other)
    }
    return sum === 0 ? 1 : Math.max(1, Math.ceil(this.limit * own / sum))
  }

  private adjustCounts (team: string, queue: string, by: number): void {
    this.total += by
    adjustCount(this.byTeam, team, by)
    adjustCount(this.byQueue, queue, by)
  }
}

function createSlot (releaseSlot: () => void): AdmissionSlot {
  let held = true
  return {
    release: () => {
      if (held) releaseSlot()
      held = false
    }
  }
}

function adjustCount (counts: Map<string, number>, name: string, by: number): void {
  const count = (counts.get(name) ?? 0) + by
  if (count === 0) counts.delete(name)
  else counts.set(name, count)
}
