/**
 * An in-memory log with injected faults, for tests.
 */
import { err, ok, type Result } from 'neverthrow'
import { sleep } from '@fireflymount/service-clients/clock'
import { Log, LogFailure, type LogError, type LogPage, type LogRecord } from '@fireflymount/service-clients/log'

/** The outcome of one call. */
export enum CallOutcome {
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

/** The outcome that a test plans for one call. */
export interface Call {
  readonly callOutcome: CallOutcome
  readonly delayMs: number
}

const SERVED: Call = { callOutcome: CallOutcome.Served, delayMs: 1 }
const MAX_PAGE_RECORDS = 5
const LATE_EFFECT_DELAY_MS = 60

/** An in-memory log. Calls take their outcomes from the list `calls`, and are served once it is empty. */
export class FakeLog extends Log {
  readonly records: LogRecord[] = []
  earliest = 0
  calls: Call[] = []
  /** While set, the outcome of all calls. */
  defaultOutcome: CallOutcome | undefined
  /** While set, the outcome of all calls of one kind. */
  outcomeByKind: Partial<Record<'append' | 'read', CallOutcome>> = {}
  readonly received: Array<{ kind: 'append' | 'read', atMs: number }> = []

  async append (_stream: string, data: unknown): Promise<Result<number, LogError>> {
    const { callOutcome, delayMs } = this.nextCall('append')
    const copy: unknown = JSON.parse(JSON.stringify(data))
    await sleep(delayMs)
    switch (callOutcome) {
      case CallOutcome.Served: return ok(this.store(copy))
      case CallOutcome.Refused: return fail(LogFailure.Refused)
      case CallOutcome.Throttled: return fail(LogFailure.Throttled)
      case CallOutcome.LostBefore: return fail(LogFailure.Unknown)
      case CallOutcome.LostAfter:
        this.store(copy)
        return fail(LogFailure.Unknown)
      case CallOutcome.Late:
        setTimeout(() => this.store(copy), LATE_EFFECT_DELAY_MS)
        return fail(LogFailure.Unknown)
      case CallOutcome.Hung:
        this.store(copy)
        return await new Promise(() => {})
    }
  }

  async read (_stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Result<LogPage, LogError>> {
    const { callOutcome, delayMs } = this.nextCall('read')
    await sleep(delayMs)
    if (callOutcome === CallOutcome.Hung) return await new Promise(() => {})
    if (callOutcome !== CallOutcome.Served) return fail(LogFailure.Unknown)
    for (let heldMs = 0; heldMs < waitMs && from >= this.records.length && signal?.aborted !== true; heldMs += 10) await sleep(10)
    if (from < this.earliest) return err({ failure: LogFailure.Expired, detail: 'expired', earliest: this.earliest })
    const records = this.records.slice(from, from + MAX_PAGE_RECORDS)
    return ok({ records: JSON.parse(JSON.stringify(records)), next: from + records.length, earliest: this.earliest })
  }

  store (data: unknown): number {
    const offset = this.records.length
    this.records.push({ offset, data })
    return offset
  }

  private nextCall (kind: 'append' | 'read'): Call {
    this.received.push({ kind, atMs: performance.now() })
    const callOutcome = this.outcomeByKind[kind] ?? this.defaultOutcome
    if (callOutcome !== undefined) return { callOutcome, delayMs: 1 }
    return this.calls.shift() ?? SERVED
  }
}

function fail (failure: LogFailure): Result<never, LogError> {
  return err({ failure, detail: failure })
}
