/**
 * Determines which jobs are beyond the rate of their workspace. The configuration calls the rate the weight of the workspace.
 * Jobs beyond the rate wait until the others are placed, so that a workspace that submits too many jobs only delays itself.
 */

interface Bucket {
  tokens: number
  filledMs: number
}

/** Default capacity of a token bucket, as the time in which it fills. */
const BURST_SECONDS = 1

/**
 * A bucket that was filled this much later than now was filled by a clock that has been set back since. It is filled from now on, so that
 * the workspace does not wait until the clock is there again.
 */
const MAX_CLOCK_DIFFERENCE_MS = 4000

/** Token buckets by workspace. */
export class RateTracker {
  private readonly buckets = new Map<string, Bucket>()

  /** @param burstSeconds capacity of a token bucket, as the time in which it fills; it holds as many jobs as that at least */
  constructor (private readonly burstSeconds = BURST_SECONDS) {}

  /**
   * Counts a job against the rate of its workspace.
   *
   * @param weight rate of the workspace in jobs per second; 0 for no limit
   * @param atMs when the job was accepted; a time before the latest one counts as the latest one
   * @returns true if the job is beyond the rate
   */
  count (workspace: string, weight: number, atMs: number): boolean {
    if (this.exceeds(workspace, weight, atMs)) return true
    const bucket = this.buckets.get(workspace)
    if (bucket !== undefined) bucket.tokens--
    return false
  }

  /** Returns true if a job would be beyond the rate, without counting it. */
  exceeds (workspace: string, weight: number, atMs: number): boolean {
    return this.untilWithinMs(workspace, weight, atMs) > 0
  }

  /** Returns the time in milliseconds after which a job would be within the rate; 0 if it would be now. */
  untilWithinMs (workspace: string, weight: number, atMs: number): number {
    if (workspace === '' || weight <= 0) return 0
    const capacity = Math.max(1, weight) * this.burstSeconds
    let bucket = this.buckets.get(workspace)
    if (bucket === undefined) this.buckets.set(workspace, bucket = { tokens: capacity, filledMs: atMs })
    if (bucket.filledMs - atMs > MAX_CLOCK_DIFFERENCE_MS) bucket.filledMs = atMs
    const elapsedMs = Math.max(0, atMs - bucket.filledMs)
    bucket.tokens = Math.min(capacity, bucket.tokens + weight * elapsedMs / 1000)
    bucket.filledMs = Math.max(bucket.filledMs, atMs)
    return Math.max(0, 1 - bucket.tokens) * 1000 / weight
  }
}
