/**
 * Decides when this node claims the cell. Two claims at once are safe, because the store fences them. The rules here keep
 * unnecessary claims rare and failover fast.
 */

/** Time without a record of the owner after which candidates claim the cell: two heartbeats of the owner. */
export const OWNER_SILENCE_TIMEOUT_MS = 700
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
/** Candidates with a larger rank number than this claim at the same time as this rank. */
const MAX_RANK = 4

/** What a node knows about the owner. */
export interface OwnerView {
  /** True if a connection to the owner is open. */
  readonly linked: boolean
  /**
   * Steady time from which the delays before a claim are counted. It is the time of the latest of these events: this node
   * started, the connection to the owner was lost, the owner changed, or a planned stop was announced.
   */
  readonly unlinkedMs: number
  /** Steady time at which a record of the owner was last read from the journal. */
  readonly heardMs: number
  /** True if the owner's address refused the last connection, presumably because no process listens there. */
  readonly refused: boolean
  /** True if the owner announced a planned stop. */
  readonly left: boolean
  /** True if the last owner was this node, in this or an earlier incarnation. */
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
}

/**
 * Decides whether to claim the cell now.
 *
 * @param view what the node knows about the owner
 * @param rank this node's rank among the candidates, from 0; the candidate with the smallest rank claims first
 * @param nowMs in the first check, the current steady time; in the second, the time at which the journal was then read to its end
 * @returns true to claim
 */
export function isClaimDue (view: OwnerView, rank: number, nowMs: number): boolean {
  const answerMs = Math.min(view.answerMs, MAX_ANSWER_MS)
  const slowStoreMs = SLOW_ANSWER_COUNT * answerMs
  const rankDelayMs = Math.min(rank, MAX_RANK) * (RANK_DELAY_MS + answerMs)
  const delayedForMs = nowMs - view.unlinkedMs
  if (view.unclaimed) return delayedForMs >= FIRST_CLAIM_DELAY_MS + rankDelayMs
  if (view.left) return delayedForMs >= rankDelayMs
  if (view.linked) return false
  if (view.vacant) return delayedForMs >= rankDelayMs
  const silenceMs = view.refused ? REFUSED_SILENCE_TIMEOUT_MS : OWNER_SILENCE_TIMEOUT_MS
  return delayedForMs >= MIN_DISCONNECTED_MS + rankDelayMs && nowMs - view.heardMs >= silenceMs + slowStoreMs + rankDelayMs
}

/**
 * Ranks this node among the candidates. The owner calls every worker, so the candidate with the most processor comes first; one
 * whose processor is unknown comes last. Candidates with the same processor are ordered by name, starting after the owner's name and
 * wrapping around.
 *
 * @param node this node
 * @param candidates all known nodes
 * @param owner the unavailable owner, which is only ranked if it is this node; empty if there was none
 * @returns this node's rank, from 0
 */
export function rankOf (node: string, candidates: Iterable<Candidate>, owner: string): number {
  const ranked = [...candidates].filter((candidate) => candidate.node !== owner || candidate.node === node)
  ranked.sort((left, right) => shareOf(right) - shareOf(left) || compareNames(left.node, right.node, owner))
  return Math.max(0, ranked.findIndex((candidate) => candidate.node === node))
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
