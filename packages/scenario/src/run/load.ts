/**
 * A bounded load of requests in the background, with a verdict of its own.
 */
import type { Answer } from '../check/evidence.js'

/** Most requests that wait for an answer at a time. */
const MOST_PENDING = 500
const SECOND_MS = 1_000

/** Sends at a steady rate until it is stopped. */
export class Load {
  readonly answers: Answer[] = []
  private readonly pending = new Set<Promise<void>>()
  private readonly timer: NodeJS.Timeout

  /**
   * @param perSecond requests a second
   * @param send sends one request and resolves with its answer
   */
  constructor (perSecond: number, private readonly send: () => Promise<Answer>) {
    this.timer = setInterval(() => this.sendOne(), SECOND_MS / perSecond)
  }

  /** Stops sending and waits for the answers. */
  async stop (): Promise<void> {
    clearInterval(this.timer)
    await Promise.all(this.pending)
  }

  /** Stops sending, without waiting. */
  abandon (): void {
    clearInterval(this.timer)
  }

  private sendOne (): void {
    if (this.pending.size >= MOST_PENDING) return
    const sent: Promise<void> = this.send().then((answer) => {
      this.answers.push(answer)
      this.pending.delete(sent)
    })
    this.pending.add(sent)
  }
}
