/**
 * Write access of an owner to its shard's journal. A provisional owner has none.
 */
import { sleep } from '@fireflymount/service-clients/clock'
import { JournalFailure, type Journal, type JournalError } from '@fireflymount/service-clients/journal'
import { err, type Result } from 'neverthrow'

/** Delay before a change is refused, so that callers that retry at once do not loop without a pause. */
const REFUSAL_DELAY_MS = 200

/** The write operations of a shard's journal. */
export type JournalWriter = Pick<Journal, 'commit' | 'available'>

/**
 * Prevents a provisional owner from writing.
 *
 * @param journal the shard's journal
 * @param provisional true if the claim is not known to be in the log
 * @returns the journal; for a provisional owner, one that fails every commit as Unavailable
 *
 * @example
 * const writer = createJournalWriter(journal, claim.provisional)
 */
export function createJournalWriter (journal: Journal, provisional: boolean): JournalWriter {
  if (!provisional) return journal
  return {
    available: () => false,
    commit: async (): Promise<Result<void, JournalError>> => {
      await sleep(REFUSAL_DELAY_MS)
      return err({
        failure: JournalFailure.Unavailable,
        detail: 'The log has been unavailable since before this owner took over the shard.'
      })
    }
  }
}
