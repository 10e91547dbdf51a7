/**
 * Refusals of jobs that the backlog has no room for.
 */
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { Shortage, type Backlog } from '../place/backlog.js'

/**
 * Returns the refusal of a job that a backlog has no room for, or undefined.
 *
 * @param bytes what the job would hold
 * @param nowMs time on the steady clock
 * @param parts see `Backlog.findShortage`
 */
export function refuseBeyondBacklog (
  backlog: Backlog, workspace: string, bytes: number, nowMs: number, parts = 1
): Refusal | undefined {
  switch (backlog.findShortage(workspace, bytes, parts)) {
    case undefined: return undefined
    case Shortage.NeverFits:
      return refuse(Reason.TooLarge, 'The job alone needs more memory than a workspace may use. Split it into jobs with fewer tasks.')
    case Shortage.Full: {
      const detail = 'The accepted jobs of the workspace, or of the cell, use the memory that they may use. Retry later.'
      return refuse(Reason.LimitReached, detail, backlog.retryAfterMs(workspace, bytes, nowMs))
    }
  }
}
