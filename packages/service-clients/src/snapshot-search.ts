/**
 * Finds the newest complete snapshot among the records that a stream retains.
 */
import { err, ok, type Result } from 'neverthrow'
import { SnapshotAssembler, type SnapshotPart, type CompleteSnapshot } from './snapshot-assembler.js'
import { LogFailure, type LogError, type LogPage, type LogRecord } from './log.js'

/** Maximum number of times that the search continues at a later offset because the record to read next has expired. */
const MAX_EXPIRY_RETRIES = 5

/** Maximum number of records after the newest snapshot that are kept in memory, so that they need not be read again. */
const MAX_TAIL_RECORDS = 2000

/** Result of a search. */
export interface SnapshotSearchResult<P extends SnapshotPart> {
  /** Oldest retained offset. */
  readonly earliest: number
  /** The newest complete snapshot. */
  readonly snapshot?: CompleteSnapshot<P>
  /** The records that the snapshot does not include; empty if they must be read again. */
  readonly tail: readonly LogRecord[]
}

/** How to read and parse the records of a stream. */
export interface SnapshotSearch<P extends SnapshotPart> {
  /** Reads one page. */
  readonly fetch: (from: number) => Promise<Result<LogPage, LogError>>
  /** Parses a record as a snapshot part; undefined if it is another kind of record. */
  readonly parse: (data: unknown) => P | undefined
}

/**
 * Reads a stream from its oldest retained record to its end to find its newest complete snapshot.
 *
 * @param search reads and parses the records
 * @param initialEarliest oldest retained offset when the search starts
 * @returns the newest complete snapshot, or the error of the read that failed
 *
 * @example
 * const found = await findSnapshot({ fetch, parse: parsePart }, error.earliest)
 */
export async function findSnapshot<P extends SnapshotPart> (
  search: SnapshotSearch<P>, initialEarliest: number
): Promise<Result<SnapshotSearchResult<P>, LogError>> {
  const assembler = new SnapshotAssembler<P>()
  let newest: CompleteSnapshot<P> | undefined
  let earliest = initialEarliest
  let from = initialEarliest
  let expired = 0
  let tail: LogRecord[] = []
  for (;;) {
    const page = await search.fetch(from)
    if (page.isErr()) {
      expired += 1
      if (page.error.failure !== LogFailure.Expired || expired > MAX_EXPIRY_RETRIES) return err(page.error)
      from = Math.max(from, page.error.earliest ?? from)
      continue
    }
    earliest = page.value.earliest
    for (const { data } of page.value.records) {
      const part = search.parse(data)
      if (part !== undefined) newest = chooseNewer(newest, assembler.add(part))
    }
    if (page.value.records.length === 0) break
    tail = extendTail(tail, page.value.records, newest?.asOf ?? -1)
    from = page.value.next
  }
  if (newest === undefined) return ok({ earliest, tail: [] })
  return ok({ earliest, snapshot: newest, tail: tail[0]?.offset === newest.asOf + 1 ? tail : [] })
}

function chooseNewer<P extends SnapshotPart> (
  left: CompleteSnapshot<P> | undefined, right: CompleteSnapshot<P> | undefined
): CompleteSnapshot<P> | undefined {
  if (left === undefined || right === undefined) return left ?? right
  return right.asOf >= left.asOf ? right : left
}

function extendTail (tail: readonly LogRecord[], records: readonly LogRecord[], asOf: number): LogRecord[] {
  return [...tail, ...records].filter((record) => record.offset > asOf).slice(-MAX_TAIL_RECORDS)
}
