/**
 * Decides when this node claims the cell. Two claims at once are safe, because the store fences them. The rules here keep
 * unnecessary claims rare and failover fast.
 */

/**
 * Time without a record of the owner after which candidates claim the cell: two heartbeats of the owner. It doubles with each
 * recent takeover, so that a cell whose owners cannot keep up does not change them faster than they can start to work.
 */
export const OWNER_SILENCE_TIMEOUT_MS = 700
/** Upper bound of that time. It is shorter than the time for which tasks run on after the last renewal of their lease. */
const MAX_SILENCE_TIMEOUT_MS = 2800
/** Minimum of that time if the owner's address accepts connections and its process does not answer: it may be busy. */
export const BUSY_SILENCE_TIMEOUT_MS = 2000
/** Minimum of that time for an owner whose claim is younger than `YOUNG_CLAIM_MS`: it restores runs and adopts workers. */
export const YOUNG_SILENCE_TIMEOUT_MS = 2500
export const YOUNG_CLAIM_MS = 4000
/**
 * Replaces `OWNER_SILENCE_TIMEOUT_MS` if the owner's address refuses connections. Then its process has stopped, unless only this
 * node cannot reach it. The timeout is several times the minimum interval between two appends of the owner. An idle owner only
 * writes a heartbeat after each `HEARTBEAT_INTERVAL_MS` of journal/writer.ts, which is longer than this timeout. An idle owner
 * that only this node cannot reach may therefore be superseded.
 */
export const REFUSED_SILENCE_TIMEOUT_MS = 150
/**
 * Minimum time from `unlinkedMs` to a claim. It leaves time to establish a new connection to the owner. It does not apply if
 * the owner announced a planned stop, or if `vacant` is true.
 */
export const MIN_DISCONNECTED_MS = 150
/**
 * Minimum time from the start of a node to its claim if no node has ever claimed the cell. All nodes start at the same time then,
 * and need this time to register, so that the ranks are known.
 */
export const FIRST_CLAIM_DELAY_MS = 1000
/** Delay between the claims of consecutive ranks, longer than a claim takes. */
const RANK_DELAY_MS = 120
/** Number of mean answer times added to the silence timeout: for the owner's append and for the read that shows it. */
const SLOW_ANSWER_COUNT = 2
/** Upper bound of the answer time in these delays, so that a slow store does not defer failover any further. */
const MAX_ANSWER_MS = 300
/**
 * A candidate with less than this part of the largest one's processor is placed further back by a number of ranks: one claim by it
 * costs more than the time for which it waits, and one rank is within the jitter of busy processes.
 */
const MUCH_SMALLER_RATIO = 0.5
const MUCH_SMALLER_RANKS = 1
/** Candidates with a larger rank number than this claim at the same time as this rank. */
export const LAST_RANK = 4

/** What a node knows about the owner. */
export interface OwnerView {
  /** True if a connection to the owner is open, and not to another process of its node. */
  readonly linked: boolean
  /**
   * Steady time from which the delays before a claim are counted. It is the time of the latest of these events: this node
   * started, the connection to the owner was lost, the owner changed, or a planned stop was announced.
   */
  readonly unlinkedMs: number
  /** Steady time at which a record of the owner was last read from the journal. */
  readonly heardMs: number
  /** Steady time at which the owner's claim was read; -Infinity if it was there when this node first read the journal. */
  readonly claimReadMs: number
  /** Number of takeovers, within the last half minute, from owners that were not known to have ended. */
  readonly recentTakeovers: number
  /** True if the owner's address refused the last connection, presumably because no process listens there. */
  readonly refused: boolean
  /** True if the owner's address accepted the last connection, but its process did not answer on it yet. */
  readonly accepting: boolean
  /** True if the owner announced a planned stop. */
  readonly left: boolean
  /**
   * True if the last owner was this node, in this or an earlier incarnation, or if a later process than the owner's has registered
   * for the owner's node.
   */
  readonly vacant: boolean
  /** True if no node has ever claimed the cell. */
  readonly unclaimed: boolean
  /** Mean answer time of the store. */
  readonly answerMs: number
}

/** A node that may claim the cell. */
export interface Candidate {
  readonly node: string
  /** Number of processor cores that the node may use; undefined if it is unknown. */
  readonly processorShare?: number | undefined
  /** True if the node is about to stop, so that it claims no more. */
  readonly leaving?: boolean | undefined
}

/**
 * Decides whether to claim the cell now.
 *
 * @param view what the node knows about the owner
 * @param rank this node's rank among the candidates, from 0; the candidate with the smallest rank claims first
 * @param nowMs in the first check, the current steady time; in the second, the time at which the read was sent that then read the
 *   journal to its end, since a node that is late itself may handle the answer long after the store gave it
 * @returns true to claim
 */
export function isClaimDue (view: OwnerView, rank: number, nowMs: number): boolean {
  const answerMs = Math.min(view.answerMs, MAX_ANSWER_MS)
  const slowStoreMs = SLOW_ANSWER_COUNT * answerMs
  const rankDelayMs = Math.min(rank, LAST_RANK) * (RANK_DELAY_MS + answerMs)
  const delayedForMs = nowMs - view.unlinkedMs
  if (view.unclaimed) return delayedForMs >= FIRST_CLAIM_DELAY_MS + rankDelayMs
  if (view.left) return delayedForMs >= rankDelayMs
  if (view.vacant) return delayedForMs >= rankDelayMs
  if (view.linked) return false
  const silenceMs = silenceTimeoutOf(view, nowMs)
  return delayedForMs >= MIN_DISCONNECTED_MS + rankDelayMs && nowMs - view.heardMs >= silenceMs + slowStoreMs + rankDelayMs
}

function silenceTimeoutOf (view: OwnerView, nowMs: number): number {
  if (view.refused) return REFUSED_SILENCE_TIMEOUT_MS
  const timeoutMs = Math.min(OWNER_SILENCE_TIMEOUT_MS * 2 ** view.recentTakeovers, MAX_SILENCE_TIMEOUT_MS)
  if (nowMs - view.claimReadMs < YOUNG_CLAIM_MS) return Math.max(timeoutMs, YOUNG_SILENCE_TIMEOUT_MS)
  return view.accepting ? Math.max(timeoutMs, BUSY_SILENCE_TIMEOUT_MS) : timeoutMs
}

/**
 * Ranks this node among the candidates. The owner calls every worker, so the candidate with the most processor comes first; one
 * whose processor is unknown comes last, and one that is much smaller waits longer. Candidates with the same processor are ordered
 * by name, starting after the owner's name and wrapping around.
 *
 * @param node this node
 * @param candidates all known nodes
 * @param owner the unavailable owner; empty if there was none
 * @param returned true if the owner's node is up again, so that it is ranked too; it is also ranked if it is this node
 * @returns this node's rank, from 0
 */
export function rankOf (node: string, candidates: Iterable<Candidate>, owner: string, returned = false): number {
  const ranked = [...candidates].filter((candidate) => {
    return candidate.node === node || (candidate.leaving !== true && (candidate.node !== owner || returned))
  })
  ranked.sort((left, right) => shareOf(right) - shareOf(left) || compareNames(left.node, right.node, owner))
  const rank = Math.max(0, ranked.findIndex((candidate) => candidate.node === node))
  return rank > 0 && isMuchSmaller(ranked[rank]!, ranked[0]!) ? rank + MUCH_SMALLER_RANKS : rank
}

/** True if a candidate has much less processor than another one, so that a takeover by the other one is worth its cost. */
export function isMuchSmaller (candidate: Candidate, other: Candidate): boolean {
  return shareOf(candidate) < MUCH_SMALLER_RATIO * shareOf(other)
}

function shareOf (candidate: Candidate): number {
  return candidate.processorShare ?? 0
}

/** Orders names starting with the owner's. */
function compareNames (left: string, right: string, owner: string): number {
  const wraps = Number(left < owner) - Number(right < owner)
  if (wraps !== 0) return wraps
  return left < right ? -1 : 1
}
