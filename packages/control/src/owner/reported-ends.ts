/**
 * The ended runs that one incarnation of a worker has reported. A worker drops all ends up to the position that is acknowledged, so an end
 * that is not in the journal holds back the acknowledgement of those after it.
 */
import type { EndedRun } from '../model/worker.js'

/** What is known of an end that is not acknowledged. */
enum EndState {
  /** Being handled, or being written to the journal. */
  Pending,
  /** Its handling has failed. */
  Failed,
  /** In the journal. */
  Written
}

/** Ends that are to be handled, and the position up to which they may be acknowledged. */
export class ReportedEnds {
  private receivedThrough = 0
  /** Position that the next new end has; undefined before the first end, unless the incarnation is known from its start. */
  private nextPosition: number | undefined
  /** Position up to which all reported ends are in the journal. */
  private writtenThrough = 0
  /** Lowest position in the last report. */
  private lowestListed = Infinity
  /** States of the ends above `writtenThrough`, by position. */
  private readonly states = new Map<number, EndState>()

  /**
   * @param isComplete whether all reports of the incarnation come here, so that its first end has position 1
   * @param onSkipped called for positions that no report has listed, although a later one is listed: their ends are lost
   */
  constructor (isComplete: boolean, private readonly onSkipped: (from: number, through: number) => void) {
    this.nextPosition = isComplete ? 1 : undefined
  }

  /**
   * The position that the next report request acknowledges. It is 0 once the worker lists no end up to it any more: a worker that has
   * restarted meanwhile would drop the ends of its new incarnation, whose positions start at 1 again.
   */
  get acknowledged (): number {
    return this.lowestListed <= this.writtenThrough ? this.writtenThrough : 0
  }

  /** Returns the ends of a report that are to be handled: those that are new, and those whose handling has failed. */
  receive (ended: readonly EndedRun[]): EndedRun[] {
    this.lowestListed = Math.min(...ended.map(({ position }) => position))
    const unhandled = ended.filter(({ position }) => (
      position > this.receivedThrough || this.states.get(position) === EndState.Failed
    ))
    for (const { position } of unhandled) {
      this.checkSkipped(position)
      this.receivedThrough = Math.max(this.receivedThrough, position)
      this.states.set(position, EndState.Pending)
    }
    return unhandled
  }

  private checkSkipped (position: number): void {
    if (position <= this.receivedThrough) return
    if (this.nextPosition !== undefined && position > this.nextPosition) this.onSkipped(this.nextPosition, position - 1)
    this.nextPosition = position + 1
  }

  /**
   * Notes the outcome for ends that were to be handled.
   *
   * @param written those of them that are in the journal; the handling of the others has failed
   */
  settle (ends: readonly EndedRun[], written: readonly EndedRun[]): void {
    for (const { position } of ends) this.states.set(position, EndState.Failed)
    for (const { position } of written) this.states.set(position, EndState.Written)
    for (const position of [...this.states.keys()].sort((left, right) => left - right)) {
      if (this.states.get(position) !== EndState.Written) return
      this.states.delete(position)
      this.writtenThrough = position
    }
  }
}
