/**
 * Bounds on the requests that are in progress in this node.
 */
import { err, ok, type Result } from 'neverthrow'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import type { Directory } from './directory.js'

/** Part of the node's bound that one queue may take. */
const QUEUE_FRACTION = 0.75
/** Part of the node's bound up to which no team is held to its share. */
const FREE_FRACTION = 0.5
const RETRY_MS = 1000

/** A place among the requests in progress. */
export interface Place {
  /** Gives the place back. Later calls do nothing. */
  leave (): void
}

/** Counts requests in progress by node, queue and team. */
export class Admission {
  private total = 0
  private readonly byQueue = new Map<string, number>()
  private readonly byTeam = new Map<string, number>()

  constructor (private readonly directory: Directory, private readonly limit: number) {}

  /** @returns how many requests are in progress */
  inProgress (): number {
    return this.total
  }

  /**
   * Takes a request in, or refuses it at once. While the node is more than half full, a team may hold no more than
   * its share among the teams that have requests in progress.
   *
   * @param team the team
   * @param queue the queue's name
   * @returns the place, or the refusal
   */
  enter (team: string, queue: string): Result<Place, Refusal> {
    if (this.total >= this.limit) return err(this.refuseAll())
    if ((this.byQueue.get(queue) ?? 0) >= Math.ceil(this.limit * QUEUE_FRACTION)) {
      return err(refuse(Reason.Overloaded, `The queue "${queue}" has as many requests in progress as one queue may have in this node. Come back.`, RETRY_MS))
    }
    if (this.total >= this.limit * FREE_FRACTION && (this.byTeam.get(team) ?? 0) >= this.bound(team)) {
      return err(refuse(Reason.LimitReached, `This node is busy and the team "${team}" has its share of requests in progress. Come back.`, RETRY_MS))
    }
    this.add(team, queue, 1)
    return ok(createPlace(() => this.add(team, queue, -1)))
  }

  /**
   * Takes in a call whose team and queue are not known yet, such as a question for a job.
   *
   * @returns the place, or the refusal
   */
  enterUnknown (): Result<Place, Refusal> {
    if (this.total >= this.limit) return err(this.refuseAll())
    this.total++
    return ok(createPlace(() => { this.total-- }))
  }

  private refuseAll (): Refusal {
    return refuse(Reason.Overloaded, `This node has ${this.limit} requests in progress, its limit. Try another node or come back.`, RETRY_MS)
  }

  private bound (team: string): number {
    const own = this.directory.share(team)
    let sum = own
    for (const other of this.byTeam.keys()) {
      if (other !== team) sum += this.directory.share(other)
    }
    return sum === 0 ? 1 : Math.max(1, Math.ceil(this.limit * own / sum))
  }

  private add (team: string, queue: string, by: number): void {
    this.total += by
    adjust(this.byTeam, team, by)
    adjust(this.byQueue, queue, by)
  }
}

function createPlace (giveBack: () => void): Place {
  let held = true
  return {
    leave: () => {
      if (held) giveBack()
      held = false
    }
  }
}

function adjust (counts: Map<string, number>, name: string, by: number): void {
  const count = (counts.get(name) ?? 0) + by
  if (count === 0) counts.delete(name)
  else counts.set(name, count)
}
