/**
 * Running totals of a journal, shared by its reader and its writer.
 */
import type { JournalCounters } from './journal.js'

/** Totals since the start of the process, and whether the last call of the log succeeded. */
export class JournalTotals {
  available = true
  appends = 0
  bytesWritten = 0
  bytesRead = 0
  records = 0
  snapshots = 0
  restarts = 0
  gaps = 0
  malformed = 0

  /**
   * Copies the totals.
   *
   * @returns the totals
   */
  counters (): JournalCounters {
    const { appends, bytesWritten, bytesRead, records, snapshots, restarts, gaps, malformed } = this
    return { appends, bytesWritten, bytesRead, records, snapshots, restarts, gaps, malformed }
  }
}
