/**
 * A load of requests, or of jobs if the queue takes jobs, that is sent in the background with a bounded number in flight. Its
 * answers are checked by a condition on the load.
 */
import type { Answer } from '../check/evidence.js'

/** No request or job is sent while this many wait for their answers. */
const MAX_IN_FLIGHT = 500
const SECOND_MS = 1_000

/** Sends requests or jobs at a constant rate, as long as fewer than MAX_IN_FLIGHT are in flight, until it is stopped. */
export class Load {
  readonly answers: Answer[] = []
  private readonly inFlight = new Set<Promise<void>>()
  private readonly timer: NodeJS.Timeout

  /**
   * @param perSecond requests or jobs per second
   * @param send sends one request or job and resolves with its answer
   */
  constructor (perSecond: number, private readonly send: () => Promise<Answer>) {
    this.timer = setInterval(() => this.sendOne(), SECOND_MS / perSecond)
  }

  /** Stops sending and waits for the outstanding answers. */
  async stop (): Promise<void> {
    clearInterval(this.timer)
    await Promise.all(this.inFlight)
  }

  /** Stops sending without waiting for the outstanding answers. */
  abandon (): void {
    clearInterval(this.timer)
  }

  private sendOne (): void {
    if (this.inFlight.size >= MAX_IN_FLIGHT) return
    const sent: Promise<void> = this.send().then((answer) => {
      this.answers.push(answer)
      this.inFlight.delete(sent)
    })
    this.inFlight.add(sent)
  }
}
