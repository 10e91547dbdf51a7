/**
 * Looks through what a stream retains for the newest whole snapshot.
 */
import { err, ok, type Result } from 'neverthrow'
import { Assembly, type SnapshotPart, type WholeSnapshot } from './assembly.js'
import { LogFailure, type LogError, type LogPage, type LogRecord } from './log.js'

/** Times that the oldest record may expire while it is looked for. */
const EXPIRY_COUNT = 5

/** Most records after a snapshot that are kept instead of being read again. */
const TAIL_COUNT = 2000

/** What was found. */
export interface Retained<P extends SnapshotPart> {
  /** Oldest offset retained. */
  readonly earliest: number
  /** The newest whole snapshot. */
  readonly snapshot?: WholeSnapshot<P>
  /** The records after the snapshot; empty if they have to be read again. */
  readonly tail: readonly LogRecord[]
}

/** How to look through a stream. */
export interface Search<P extends SnapshotPart> {
  /** Reads one page. */
  readonly fetch: (from: number) => Promise<Result<LogPage, LogError>>
  /** Returns a record as a part of a snapshot, or undefined if it is something else. */
  readonly parse: (data: unknown) => P | undefined
}

/**
 * Reads a stream from its oldest record to its end.
 *
 * @param search how to read and what to look for
 * @param oldest offset to start from
 * @returns the newest whole snapshot, or why the stream could not be read
 *
 * @example
 * const found = await findSnapshot({ fetch, parse: parsePart }, error.earliest)
 */
export async function findSnapshot<P extends SnapshotPart> (
  search: Search<P>, oldest: number
): Promise<Result<Retained<P>, LogError>> {
  const assembly = new Assembly<P>()
  let newest: WholeSnapshot<P> | undefined
  let earliest = oldest
  let from = oldest
  let expired = 0
  let tail: LogRecord[] = []
  for (;;) {
    const page = await search.fetch(from)
    if (page.isErr()) {
      expired += 1
      if (page.error.failure !== LogFailure.Expired || expired > EXPIRY_COUNT) return err(page.error)
      from = Math.max(from, page.error.earliest ?? from)
      continue
    }
    earliest = page.value.earliest
    for (const { data } of page.value.records) {
      const part = search.parse(data)
      if (part !== undefined) newest = chooseNewer(newest, assembly.add(part))
    }
    if (page.value.records.length === 0) break
    tail = extendTail(tail, page.value.records, newest?.asOf ?? -1)
    from = page.value.next
  }
  if (newest === undefined) return ok({ earliest, tail: [] })
  return ok({ earliest, snapshot: newest, tail: tail[0]?.offset === newest.asOf + 1 ? tail : [] })
}

function chooseNewer<P extends SnapshotPart> (
  left: WholeSnapshot<P> | undefined, right: WholeSnapshot<P> | undefined
): WholeSnapshot<P> | undefined {
  if (left === undefined || right === undefined) return left ?? right
  return right.asOf >= left.asOf ? right : left
}

function extendTail (tail: readonly LogRecord[], records: readonly LogRecord[], asOf: number): LogRecord[] {
  return [...tail, ...records].filter((record) => record.offset > asOf).slice(-TAIL_COUNT)
}
