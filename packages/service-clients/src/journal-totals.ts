/**
 * Running totals of a journal, shared by its reader and its writer.
 */
import type { JournalCounters } from './journal.js'

/** Totals since the start of the process; see JournalCounters. */
export class JournalTotals {
  /** Whether the last append or read succeeded. A throttled append counts as failed only from the third in a row. */
  available = true
  appends = 0
  charactersWritten = 0
  charactersRead = 0
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
    const { appends, charactersWritten, charactersRead, records, snapshots, restarts, gaps, malformed } = this
    return { appends, charactersWritten, charactersRead, records, snapshots, restarts, gaps, malformed }
  }
}
