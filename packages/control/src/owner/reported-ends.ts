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
  /** Position up to which all reported ends are in the journal. */
  acknowledgedThrough = 0
  private receivedThrough = 0
  /** States of the ends above `acknowledgedThrough`, by position. */
  private readonly states = new Map<number, EndState>()

  /** Returns the ends of a report that are to be handled: those that are new, and those whose handling has failed. */
  receive (ended: readonly EndedRun[]): EndedRun[] {
    const unhandled = ended.filter(({ position }) => (
      position > this.receivedThrough || this.states.get(position) === EndState.Failed
    ))
    for (const { position } of unhandled) {
      this.receivedThrough = Math.max(this.receivedThrough, position)
      this.states.set(position, EndState.Pending)
    }
    return unhandled
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
      this.acknowledgedThrough = position
    }
  }
}
