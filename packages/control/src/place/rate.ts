/**
 * Which jobs go beyond the rate that their workspace's share covers. Answers the pattern of one workspace that sends many times
 * as much as usual: what is beyond its rate waits until the others are served, so that it slows only itself.
 */

interface Bucket {
  tokens: number
  filledMs: number
}

/** Longest burst that a rate covers, in seconds. */
const BURST_S = 1

/** Token buckets by workspace. */
export class RateBook {
  private readonly buckets = new Map<string, Bucket>()

  /**
   * Counts a job against its workspace's rate.
   *
   * @param weight jobs a second that the share covers; 0 for no bound
   * @param atMs time of the acceptance; an earlier time than before counts as the same
   * @returns true if the job goes beyond the rate
   */
  count (workspace: string, weight: number, atMs: number): boolean {
    if (this.exceeds(workspace, weight, atMs)) return true
    const bucket = this.buckets.get(workspace)
    if (bucket !== undefined) bucket.tokens--
    return false
  }

  /** Tells whether a job would go beyond the rate, without counting it. */
  exceeds (workspace: string, weight: number, atMs: number): boolean {
    if (workspace === '' || weight <= 0) return false
    const most = Math.max(1, weight * BURST_S)
    let bucket = this.buckets.get(workspace)
    if (bucket === undefined) this.buckets.set(workspace, bucket = { tokens: most, filledMs: atMs })
    const elapsedMs = Math.max(0, atMs - bucket.filledMs)
    bucket.tokens = Math.min(most, bucket.tokens + weight * elapsedMs / 1000)
    bucket.filledMs = Math.max(bucket.filledMs, atMs)
    return bucket.tokens < 1
  }
}
