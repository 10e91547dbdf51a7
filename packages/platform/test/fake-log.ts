import { err, ok, type Result } from 'neverthrow'
import { sleep } from '@fireflymount/platform/clock'
import { Log, LogFailure, type LogError, type LogPage, type LogRecord } from '@fireflymount/platform/log'

/** What happens to one call. */
export enum Fate {
  Served = 'served',
  Refused = 'refused',
  Throttled = 'throttled',
  /** Takes effect, and the answer is lost. */
  LostAfter = 'lost-after',
  /** Has no effect, and the answer is lost. */
  LostBefore = 'lost-before',
  /** The answer is lost, and the append takes effect later. */
  Late = 'late',
  /** Takes effect, and nothing is ever answered. */
  Hung = 'hung'
}

export interface Call {
  readonly fate: Fate
  readonly delayMs: number
}

const SERVED: Call = { fate: Fate.Served, delayMs: 1 }
const PAGE_RECORDS = 5
const LATE_MS = 60

/** A log in memory. Calls take their fates from a list, and are served when it is used up. */
export class FakeLog extends Log {
  readonly records: LogRecord[] = []
  earliest = 0
  calls: Call[] = []
  /** The fate of all calls while it is set. */
  always: Fate | undefined
  /** The fate of all calls of one kind while it is set. */
  byKind: Partial<Record<'append' | 'read', Fate>> = {}
  readonly seen: Array<{ kind: 'append' | 'read', atMs: number }> = []

  async append (_stream: string, data: unknown): Promise<Result<number, LogError>> {
    const { fate, delayMs } = this.next('append')
    const copy: unknown = JSON.parse(JSON.stringify(data))
    await sleep(delayMs)
    switch (fate) {
      case Fate.Served: return ok(this.write(copy))
      case Fate.Refused: return fail(LogFailure.Refused)
      case Fate.Throttled: return fail(LogFailure.Throttled)
      case Fate.LostBefore: return fail(LogFailure.Unknown)
      case Fate.LostAfter:
        this.write(copy)
        return fail(LogFailure.Unknown)
      case Fate.Late:
        setTimeout(() => this.write(copy), LATE_MS)
        return fail(LogFailure.Unknown)
      case Fate.Hung:
        this.write(copy)
        return await new Promise(() => {})
    }
  }

  async read (_stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Result<LogPage, LogError>> {
    const { fate, delayMs } = this.next('read')
    await sleep(delayMs)
    if (fate === Fate.Hung) return await new Promise(() => {})
    if (fate !== Fate.Served) return fail(LogFailure.Unknown)
    for (let heldMs = 0; heldMs < waitMs && from >= this.records.length && signal?.aborted !== true; heldMs += 10) await sleep(10)
    if (from < this.earliest) return err({ failure: LogFailure.Expired, detail: 'expired', earliest: this.earliest })
    const records = this.records.slice(from, from + PAGE_RECORDS)
    return ok({ records: JSON.parse(JSON.stringify(records)), next: from + records.length, earliest: this.earliest })
  }

  write (data: unknown): number {
    const offset = this.records.length
    this.records.push({ offset, data })
    return offset
  }

  private next (kind: 'append' | 'read'): Call {
    this.seen.push({ kind, atMs: performance.now() })
    const fate = this.byKind[kind] ?? this.always
    if (fate !== undefined) return { fate, delayMs: 1 }
    return this.calls.shift() ?? SERVED
  }
}

function fail (failure: LogFailure): Result<never, LogError> {
  return err({ failure, detail: failure })
}
