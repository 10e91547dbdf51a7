/**
 * Starts that may have taken effect, or may still do so, in an incarnation of the worker that no report has shown.
 */
import type { Result } from 'neverthrow'
import { Stage } from '../journal/record.js'
import { WorkerFailure } from '../ports/fleet.js'
import { MAX_COMMAND_DELAY_MS } from './lease.js'
import type { Run } from './run.js'

enum Answer {
  Awaited,
  /** The worker has carried out the start, in whichever incarnation. */
  Received,
  /** There was no answer. The worker may carry out the start later. */
  Lost
}

interface UnsettledStart {
  readonly sentMs: number
  answer: Answer
  /** When the answer was received; Infinity before. */
  answeredMs: number
}

/** The unsettled starts of one worker. */
export class UnsettledStarts {
  private readonly starts = new Map<Run, UnsettledStart>()

  /** @param hasLaterStarted true if a later run of a run's task has started */
  constructor (private readonly hasLaterStarted: (run: Run) => boolean) {}

  /** Adds a start that is about to be sent, at a time on the steady clock. */
  add (run: Run, nowMs: number): void {
    this.starts.set(run, { sentMs: nowMs, answer: Answer.Awaited, answeredMs: Infinity })
  }

  onAnswered (run: Run, answer: Result<number, WorkerFailure>, nowMs: number): void {
    const start = this.starts.get(run)
    if (start === undefined) return
    start.answeredMs = nowMs
    if (answer.isOk()) start.answer = Answer.Received
    else if (answer.error === WorkerFailure.NoAnswer) start.answer = Answer.Lost
    else this.starts.delete(run)
  }

  /**
   * Drops the starts that had been answered when a report was requested that omits nothing: it lists their runs, or the incarnation that
   * carried them out is gone.
   */
  onCompleteReport (sentMs: number): void {
    for (const [run, { answer, answeredMs }] of this.starts) {
      if (answer === Answer.Received && answeredMs <= sentMs) this.starts.delete(run)
    }
  }

  /** Returns true if there are any, at a time on the steady clock. */
  any (nowMs: number): boolean {
    this.prune(nowMs)
    return this.starts.size > 0
  }

  /** Returns true if any has not been answered. */
  anyUnanswered (nowMs: number): boolean {
    this.prune(nowMs)
    return [...this.starts.values()].some(({ answer }) => answer !== Answer.Received)
  }

  /** Returns true if any will not be answered. */
  hasLost (): boolean {
    return [...this.starts.values()].some(({ answer }) => answer === Answer.Lost)
  }

  /**
   * Drops the starts of runs that the current incarnation has confirmed, those whose task needs no end of the run any more, and those that
   * can no longer be carried out. A confirmed stop does not settle a start: a later incarnation has not seen the stop.
   */
  private prune (nowMs: number): void {
    for (const [run, { sentMs }] of this.starts) {
      const { entry, task, confirmed } = run
      const isOver = this.hasLaterStarted(run) || task.stage === Stage.Done || entry.isFinishedOrCancelled()
      if (confirmed !== undefined || isOver || nowMs - sentMs > MAX_COMMAND_DELAY_MS) this.starts.delete(run)
    }
  }
}
