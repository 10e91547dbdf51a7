/**
 * Starts the sessions of an owner in small groups, so that the first reports of all workers of a cell do not block the process.
 */
import { sleep } from '../clock.js'
import { detach } from '../detach.js'
import type { Session } from './session.js'

/** Maximum number of sessions that wait for their first report. */
export const MAX_PENDING_ADOPTIONS = 16
/** Time after which a session whose first report has not arrived makes room for another one. A sound worker answers much sooner. */
const MAX_ADOPTION_WAIT_MS = 100

/** The sessions that have not been started yet. */
export class Adoption {
  private readonly sessionsWithRuns: Session[] = []
  private readonly otherSessions: Session[] = []
  private pending = 0
  private isScheduled = false

  /** Starts a session soon: after those with runs that are added at the same time, and before others that are added later. */
  add (session: Session): void {
    if (session.runs.size > 0) this.sessionsWithRuns.push(session)
    else this.otherSessions.push(session)
    this.schedule()
  }

  private schedule (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    setTimeout(() => {
      this.isScheduled = false
      this.startSessions()
    }, 0)
  }

  private startSessions (): void {
    while (this.pending < MAX_PENDING_ADOPTIONS) {
      const session = this.sessionsWithRuns.shift() ?? this.otherSessions.shift()
      if (session === undefined) return
      this.pending++
      detach(session.run())
      detach(this.release(session))
    }
  }

  private async release (session: Session): Promise<void> {
    await Promise.race([session.firstReport, sleep(MAX_ADOPTION_WAIT_MS)])
    this.pending--
    this.schedule()
  }
}
