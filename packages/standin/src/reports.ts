/**
 * Reports of ended tasks, which a stand-in worker keeps until they are acknowledged.
 */
import type { TaskReport } from '@fireflymount/service-clients/worker'
import { runKey } from './running-task.js'

/** A report, and whether a response has contained it. */
interface PendingReport {
  readonly report: TaskReport
  reported: boolean
}

/** The reports that are not acknowledged yet. */
export class Reports {
  private readonly pending = new Map<string, PendingReport>()

  add (report: TaskReport): void {
    this.pending.set(runKey(report.id, report.attempt), { report, reported: false })
  }

  has (key: string): boolean {
    return this.pending.has(key)
  }

  acknowledge (keys: readonly string[]): void {
    for (const key of keys) this.pending.delete(key)
  }

  /** Whether there is a report that no response has contained yet. */
  hasUnreported (): boolean {
    for (const pending of this.pending.values()) {
      if (!pending.reported) return true
    }
    return false
  }

  /**
   * Returns all reports for a response, and marks them as reported.
   *
   * @returns the reports
   */
  collect (): TaskReport[] {
    const reports: TaskReport[] = []
    for (const pending of this.pending.values()) {
      pending.reported = true
      reports.push(pending.report)
    }
    return reports
  }

  clear (): void {
    this.pending.clear()
  }
}
