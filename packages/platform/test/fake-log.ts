import { err, ok, type Result } from 'neverthrow'
import { sleep } from '@fireflymount/platform/clock'
import { Log, LogFailure, type LogError, type LogPage, type LogRecord } from '@fireflymount/platform/log'

/** The outcome of one call. */
export enum Fate {
  Served = 'served',
  Refused = 'refused',
  Throttled = 'throttled',
  /** Takes effect, and the response is lost. */
  LostAfter = 'lost-after',
  /** Has no effect, and the response is lost. */
  LostBefore = 'lost-before',
  /** The response is lost, and the append takes effect later. */
  Late = 'late',
  /** Takes effect, and the call never completes. */
  Hung = 'hung'
}

export interface Call {
  readonly fate: Fate
  readonly delayMs: number
}

const SERVED: Call = { fate: Fate.Served, delayMs: 1 }
const MAX_PAGE_RECORDS = 5
const LATE_EFFECT_DELAY_MS = 60

/** An in-memory log. Calls take their outcomes from the list `calls`, and are served once it is empty. */
export class FakeLog extends Log {
  readonly records: LogRecord[] = []
  earliest = 0
  calls: Call[] = []
  /** While set, the outcome of all calls. */
  always: Fate | undefined
  /** While set, the outcome of all calls of one kind. */
  outcomeByKind: Partial<Record<'append' | 'read', Fate>> = {}
  readonly seen: Array<{ kind: 'append' | 'read', atMs: number }> = []

  async append (_stream: string, data: unknown): Promise<Result<number, LogError>> {
    const { fate, delayMs } = this.nextCall('append')
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
        setTimeout(() => this.write(copy), LATE_EFFECT_DELAY_MS)
        return fail(LogFailure.Unknown)
      case Fate.Hung:
        this.write(copy)
        return await new Promise(() => {})
    }
  }

  async read (_stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Result<LogPage, LogError>> {
    const { fate, delayMs } = this.nextCall('read')
    await sleep(delayMs)
    if (fate === Fate.Hung) return await new Promise(() => {})
    if (fate !== Fate.Served) return fail(LogFailure.Unknown)
    for (let heldMs = 0; heldMs < waitMs && from >= this.records.length && signal?.aborted !== true; heldMs += 10) await sleep(10)
    if (from < this.earliest) return err({ failure: LogFailure.Expired, detail: 'expired', earliest: this.earliest })
    const records = this.records.slice(from, from + MAX_PAGE_RECORDS)
    return ok({ records: JSON.parse(JSON.stringify(records)), next: from + records.length, earliest: this.earliest })
  }

  write (data: unknown): number {
    const offset = this.records.length
    this.records.push({ offset, data })
    return offset
  }

  private nextCall (kind: 'append' | 'read'): Call {
    this.seen.push({ kind, atMs: performance.now() })
    const fate = this.outcomeByKind[kind] ?? this.always
    if (fate !== undefined) return { fate, delayMs: 1 }
    return this.calls.shift() ?? SERVED
  }
}

function fail (failure: LogFailure): Result<never, LogError> {
  return err({ failure, detail: failure })
}
