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
 */
export function refuseBeyondBacklog (backlog: Backlog, workspace: string, bytes: number, nowMs: number): Refusal | undefined {
  switch (backlog.findShortage(workspace, bytes)) {
    case undefined: return undefined
    case Shortage.NeverFits: {
      const detail = `The job needs ${megabytes(bytes)} MB with the tasks of all occurrences; a workspace may use ` +
        `${megabytes(backlog.maxJobBytes)} MB. Split it into jobs with fewer tasks or fewer occurrences.`
      return refuse(Reason.TooLarge, detail)
    }
    case Shortage.Full: {
      const detail = 'The accepted jobs of the workspace, or of the cell, use the memory that they may use. Retry later.'
      return refuse(Reason.LimitReached, detail, backlog.retryAfterMs(workspace, bytes, nowMs))
    }
  }
}

function megabytes (bytes: number): string {
  return (bytes / 1024 / 1024).toFixed(1)
}
