/**
 * A buffer of the most recent configuration records, for peers that cannot read the log.
 */
import type { LogRecord } from '@fireflymount/service-clients/log'

/** Bounds to which the window is trimmed when it holds more than twice as many records or characters. */
const TRIMMED_WINDOW_RECORDS = 2000
const TRIMMED_WINDOW_CHARACTERS = 2_000_000
const MAX_PAGE_RECORDS = 200
const MAX_PAGE_CHARACTERS = 500_000

/** A record and its size as JSON text. */
interface SizedRecord {
  readonly record: LogRecord
  readonly characters: number
}

/** A bounded sequence of records with consecutive offsets. */
export class RecordWindow {
  private records: SizedRecord[] = []
  private characters = 0

  /**
   * Appends a record.
   *
   * @param record the record; its offset follows that of the last one
   */
  push (record: LogRecord): void {
    const characters = JSON.stringify(record.data).length
    this.records.push({ record, characters })
    this.characters += characters
    if (this.records.length > 2 * TRIMMED_WINDOW_RECORDS || this.characters > 2 * TRIMMED_WINDOW_CHARACTERS) this.trim()
  }

  private trim (): void {
    let from = 0
    while (this.records.length - from > TRIMMED_WINDOW_RECORDS || this.characters > TRIMMED_WINDOW_CHARACTERS) {
      this.characters -= this.records[from]?.characters ?? 0
      from += 1
    }
    this.records = this.records.slice(from)
  }

  /** Removes all records. */
  clear (): void {
    this.records = []
    this.characters = 0
  }

  /**
   * Checks whether the window contains a record.
   *
   * @param offset the record's offset
   * @returns true if it is in the window
   */
  contains (offset: number): boolean {
    const [first] = this.records
    return first !== undefined && offset >= first.record.offset && offset < first.record.offset + this.records.length
  }

  /**
   * Returns one page of records.
   *
   * @param offset offset of the first record, which the window must contain
   * @returns as many records as fit into one page, at least one
   */
  slice (offset: number): readonly LogRecord[] {
    const page: LogRecord[] = []
    let characters = 0
    const start = offset - (this.records[0]?.record.offset ?? offset)
    for (const sized of this.records.slice(start, start + MAX_PAGE_RECORDS)) {
      characters += sized.characters
      if (page.length > 0 && characters > MAX_PAGE_CHARACTERS) break
      page.push(sized.record)
    }
    return page
  }
}
