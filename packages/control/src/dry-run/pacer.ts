/**
 * Bounds the time that the owner spends on explanations. Whoever reaches the metrics address may ask for them.
 */
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, type Result } from 'neverthrow'
import { sleep, type Clock } from '../clock.js'

/** After each explanation the next one waits for this many times as long as it took. */
const PAUSE_FACTOR = 10
const MAX_WAITING = 16
const RETRY_AFTER_MS = 1000

/** Gives explanations one after another. */
export class ExplanationPacer {
  private last: Promise<void> = Promise.resolve()
  private waiting = 0

  constructor (private readonly clock: Clock) {}

  /** Computes an explanation when it is its turn, or refuses it if too many wait. */
  async run<T> (explain: () => Result<T, Refusal>): Promise<Result<T, Refusal>> {
    if (this.waiting >= MAX_WAITING) {
      return err(refuse(Reason.Overloaded, 'Too many explanations are asked for at once. Retry later.', RETRY_AFTER_MS))
    }
    this.waiting++
    const answer = this.last.then(() => {
      this.waiting--
      const startedMs = this.clock.now()
      const explanation = explain()
      return { explanation, pauseMs: PAUSE_FACTOR * (this.clock.now() - startedMs) }
    })
    this.last = answer.then(async ({ pauseMs }) => { await sleep(pauseMs) }, () => {})
    return (await answer).explanation
  }
}
