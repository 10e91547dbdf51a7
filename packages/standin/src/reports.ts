/**
 * Reports of ended tasks, which a stand-in worker keeps until they are acknowledged.
 */
import type { TaskReport } from '@fireflymount/platform/worker'
import { runKey } from './assignment.js'

/** A report and whether an answer carried it. */
interface Kept {
  readonly report: TaskReport
  told: boolean
}

/** The reports that are not acknowledged yet. */
export class Reports {
  private readonly kept = new Map<string, Kept>()

  keep (report: TaskReport): void {
    this.kept.set(runKey(report.id, report.attempt), { report, told: false })
  }

  has (key: string): boolean {
    return this.kept.has(key)
  }

  acknowledge (keys: readonly string[]): void {
    for (const key of keys) this.kept.delete(key)
  }

  /** Whether there is a report that no answer carried yet. */
  hasFresh (): boolean {
    for (const kept of this.kept.values()) {
      if (!kept.told) return true
    }
    return false
  }

  /** @returns all reports, which count as told from now on */
  tell (): TaskReport[] {
    const reports: TaskReport[] = []
    for (const kept of this.kept.values()) {
      kept.told = true
      reports.push(kept.report)
    }
    return reports
  }

  clear (): void {
    this.kept.clear()
  }
}
