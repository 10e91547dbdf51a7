/**
 * Recent records of the configuration, kept for peers that cannot read the log.
 */
import type { LogRecord } from '@fireflymount/platform/log'

const WINDOW_RECORDS = 2000
const WINDOW_CHARACTERS = 2_000_000
const PAGE_RECORDS = 200
const PAGE_CHARACTERS = 500_000

/** A record and its size. */
interface Sized {
  readonly record: LogRecord
  readonly characters: number
}

/** A bounded run of records without gaps. */
export class Window {
  private records: Sized[] = []
  private characters = 0

  /**
   * Adds the record after the last one.
   *
   * @param record the record
   */
  push (record: LogRecord): void {
    const characters = JSON.stringify(record.data).length
    this.records.push({ record, characters })
    this.characters += characters
    if (this.records.length > 2 * WINDOW_RECORDS || this.characters > 2 * WINDOW_CHARACTERS) this.trim()
  }

  private trim (): void {
    let from = 0
    while (this.records.length - from > WINDOW_RECORDS || this.characters > WINDOW_CHARACTERS) {
      this.characters -= this.records[from]?.characters ?? 0
      from += 1
    }
    this.records = this.records.slice(from)
  }

  /** Forgets all records. */
  clear (): void {
    this.records = []
    this.characters = 0
  }

  /**
   * Tells whether the window holds a record.
   *
   * @param offset the record's offset
   * @returns true if it does
   */
  holds (offset: number): boolean {
    const [first] = this.records
    return first !== undefined && offset >= first.record.offset && offset < first.record.offset + this.records.length
  }

  /**
   * Returns records for one message.
   *
   * @param offset offset of the first one, which the window holds
   * @returns as many records as fit
   */
  slice (offset: number): readonly LogRecord[] {
    const page: LogRecord[] = []
    let characters = 0
    const start = offset - (this.records[0]?.record.offset ?? offset)
    for (const sized of this.records.slice(start, start + PAGE_RECORDS)) {
      characters += sized.characters
      if (page.length > 0 && characters > PAGE_CHARACTERS) break
      page.push(sized.record)
    }
    return page
  }
}
