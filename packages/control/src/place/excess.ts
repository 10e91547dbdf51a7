/**
 * Decides which jobs of a workspace far beyond its rate are refused. The load: one workspace submits many times its rate while
 * jobs of others wait. Each of its jobs would cost journal writes, advice and time of the owner, although it is placed after the
 * others. Jobs are refused only while others are short of something; otherwise the workspace may use what is free.
 */
import { RateTracker } from './rate.js'

/**
 * Capacity of the token buckets, as the time in which they fill. Jobs beyond the rate of a workspace but within this burst are
 * accepted, and placed after jobs within the rate.
 */
const BURST_SECONDS = 2
/** A step that waits for advice with less than this share of its total slack left is short of it. */
const MIN_SLACK_SHARE = 0.5
/** Maximum time after which a caller is told to retry. */
const MAX_RETRY_AFTER_MS = 20_000

/** A ready step of which some tasks were not placed in the last round. */
export interface WaitingStep {
  /** The job is beyond the rate of its workspace. */
  readonly overRate: boolean
  /** The job can no longer complete while it is of use to its caller. */
  readonly tooLate: boolean
  /** Time until the step has to start so that its job meets its objective. */
  readonly slackMs: number
  /** Slack of the job as a whole: its objective less the length of its critical path. */
  readonly totalSlackMs: number
  /** The workers that may run the step have no free capacity for it. Otherwise it waits for advice. */
  readonly lacksCapacity: boolean
}

/** What a waiting step of a job within its rate is short of. */
export enum Shortage {
  None = 'none',
  Capacity = 'capacity',
  /** The step has waited so long for advice that it may become late: the advisor or the owner has too much to do. */
  Advice = 'advice'
}

/** Returns what a step lacks that jobs beyond the rate of their workspace would take from it. */
export function shortageOf ({ overRate, tooLate, slackMs, totalSlackMs, lacksCapacity }: WaitingStep): Shortage {
  if (overRate || tooLate) return Shortage.None
  if (lacksCapacity) return Shortage.Capacity
  return slackMs < MIN_SLACK_SHARE * totalSlackMs ? Shortage.Advice : Shortage.None
}

/** Tracks the accepted jobs of all workspaces and the times at which refused callers are expected to return. */
export class ExcessLimiter {
  private readonly rates = new RateTracker(BURST_SECONDS)
  /** Unix time from which the next refused caller may return, by workspace. */
  private readonly nextReturnMs = new Map<string, number>()

  /** Counts an accepted job. Parameters as of `RateTracker.count`. */
  count (workspace: string, weight: number, atMs: number): void {
    this.rates.count(workspace, weight, atMs)
  }

  /**
   * Computes when the caller of a job should retry. Callers are told to return one after another at the rate of their workspace, so
   * that they do not all return at once.
   *
   * @param weight rate of the workspace in jobs per second; 0 for no limit
   * @param atMs Unix time at which the job was accepted
   * @param contended a job within its rate is short of what the job would take
   * @returns time in milliseconds until the caller's turn; undefined if the job is to be accepted
   */
  findRetryAfterMs (workspace: string, weight: number, atMs: number, contended: boolean): number | undefined {
    if (!contended) return undefined
    const untilWithinMs = this.rates.untilWithinMs(workspace, weight, atMs)
    if (untilWithinMs <= 0) return undefined
    const nextReturnMs = this.nextReturnMs.get(workspace) ?? 0
    // A return that is further ahead than any that is given was given by a clock that has been set back since.
    const isFromLaterClock = nextReturnMs - atMs > 2 * MAX_RETRY_AFTER_MS
    const returnMs = Math.max(atMs + untilWithinMs, isFromLaterClock ? 0 : nextReturnMs)
    const retryAfterMs = returnMs - atMs
    if (retryAfterMs > MAX_RETRY_AFTER_MS) return MAX_RETRY_AFTER_MS
    this.nextReturnMs.set(workspace, returnMs + 1000 / weight)
    return retryAfterMs
  }
}
