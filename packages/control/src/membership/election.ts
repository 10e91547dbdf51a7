/**
 * Decides when this node claims the cell. The store's fence makes claims safe; this makes them rare and quick.
 */

/** Silence in the journal that candidates wait for before they claim: two beats of the owner. */
export const SILENCE_BEFORE_CLAIM_MS = 700
/**
 * The same when the owner's address refuses connections: its process is gone, unless only the way from here is cut. Several times
 * an append of an owner with work to do.
 */
export const REFUSED_SILENCE_MS = 150
/** Least time without a connection to the owner before a claim: time to connect. */
export const UNLINKED_MS = 150
/** Head start of each rank over the next, above the time of a claim. */
const RANK_STEP_MS = 120
/** Answers of a slow store that are added to the silence: an owner's append, and the read that shows it. */
const SLOW_ANSWERS = 2
/** Longest answer that counts: a cell without an owner waits no longer for a slow store. */
const ANSWER_MAX_MS = 300
/** Ranks beyond this claim together with it. */
const RANK_MAX = 4

/** What a node knows of the owner. */
export interface OwnerView {
  /** A connection to the owner is open. */
  readonly linked: boolean
  /** Steady time since when there has been no connection to the owner. */
  readonly unlinkedMs: number
  /** Steady time at which a record of the owner was last read from the journal. */
  readonly heardMs: number
  /** The owner's address refused the last connection: nothing listens there. */
  readonly refused: boolean
  /** The owner announced that it leaves. */
  readonly left: boolean
  /** There has never been an owner, or it is an earlier process of this node. */
  readonly vacant: boolean
  /** Mean time of the store's answers. */
  readonly answerMs: number
}

/**
 * Tells whether to claim the cell now.
 *
 * @param view what is known of the owner
 * @param rank position among the candidates, from 0
 * @param nowMs steady time up to which the journal has been read
 * @returns true to claim
 */
export function isClaimDue (view: OwnerView, rank: number, nowMs: number): boolean {
  const answerMs = Math.min(view.answerMs, ANSWER_MAX_MS)
  const slowMs = SLOW_ANSWERS * answerMs
  const headStartMs = Math.min(rank, RANK_MAX) * (RANK_STEP_MS + answerMs)
  const unlinkedMs = nowMs - view.unlinkedMs
  if (view.left) return unlinkedMs >= headStartMs
  if (view.linked) return false
  if (view.vacant) return unlinkedMs >= headStartMs
  const silenceMs = view.refused ? REFUSED_SILENCE_MS : SILENCE_BEFORE_CLAIM_MS
  return unlinkedMs >= UNLINKED_MS + headStartMs && nowMs - view.heardMs >= silenceMs + slowMs + headStartMs
}

/**
 * Orders the candidates for the cell: those in the owner's place after it, by name.
 *
 * @param node this node
 * @param nodes all known nodes
 * @param owner the owner that is gone; empty if there was none
 * @returns this node's rank, from 0
 */
export function rankOf (node: string, nodes: Iterable<string>, owner: string): number {
  const names = [...nodes].filter((name) => name !== owner).sort()
  const after = [...names.filter((name) => name > owner), ...names.filter((name) => name < owner)]
  return Math.max(0, after.indexOf(node))
}
