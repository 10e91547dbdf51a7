/**
 * What an owner may write: nothing while its claim is not in the log.
 */
import { sleep } from '@fireflymount/platform/clock'
import { JournalFailure, type Journal, type JournalError } from '@fireflymount/platform/journal'
import { err, type Result } from 'neverthrow'

/** Pause before a change is refused, so that callers that repeat it do not spin. */
const REFUSAL_PAUSE_MS = 200

/** The writing side of a shard's journal. */
export type Ledger = Pick<Journal, 'commit' | 'available'>

/**
 * Keeps an owner from writing before its claim is in the log.
 *
 * @param journal the shard's journal
 * @param provisional the claim is not in the log
 * @returns the journal's writing side; Unavailable for a provisional owner
 *
 * @example
 * const ledger = createLedger(journal, terms.provisional)
 */
export function createLedger (journal: Journal, provisional: boolean): Ledger {
  if (!provisional) return journal
  return {
    available: () => false,
    commit: async (): Promise<Result<void, JournalError>> => {
      await sleep(REFUSAL_PAUSE_MS)
      return err({ failure: JournalFailure.Unavailable, detail: 'The log is away since before this owner took over.' })
    }
  }
}
