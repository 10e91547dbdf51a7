/**
 * Publishes deltas and settles their outcome in the order of the log.
 */
import { parseDelta } from '@fireflymount/manifest/delta-codec'
import type { Delta } from '@fireflymount/manifest/delta'
import { Outcome, type Verdict } from '@fireflymount/manifest/verdict'
import type { Clock } from '@fireflymount/platform/clock'
import { LogFailure, type Log, type LogError } from '@fireflymount/platform/log'
import { Backoff, limitTime, type Patience } from '@fireflymount/platform/retry'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import type { Revision } from './configuration.js'
import type { Feed } from './feed.js'
import type { Replica } from './replica.js'

const DELTA_CHARACTERS = 900_000
const RETRY_AFTER_MS = 2000

/** What a publisher works on. */
export interface PublisherOptions {
  readonly log: Log
  readonly stream: string
  readonly clock: Clock
  readonly replica: Replica
  readonly feed: Feed
  readonly patience: Patience
  /** Longest time until an answer. */
  readonly publishMs: number
}

/** Appends deltas until their outcome is read. */
export class Publisher {
  constructor (private readonly options: PublisherOptions) {}

  /**
   * Publishes a delta.
   *
   * @param value the delta
   * @returns the revision that includes it, or why it did not take effect, or that this is not known
   */
  async publish (value: Delta): Promise<Result<Revision, Refusal>> {
    const parsed = parseDelta(value)
    if (parsed.isErr()) return err(refuse(Reason.BadRequest, describeErrors(parsed.error)))
    if (JSON.stringify(value).length > DELTA_CHARACTERS) {
      return err(refuse(Reason.TooLarge, `A delta has at most ${DELTA_CHARACTERS} characters. Split it.`))
    }
    const { replica } = this.options
    const decided = replica.ledger.outcomeOf(value.publish)
    if (decided !== undefined) return this.explainOutcome(decided)
    const preview = replica.ledger.preview(value)
    if (preview.outcome === Outcome.Conflict) return err(describeVerdict(preview))
    return await this.settle(parsed.value)
  }

  private async settle (delta: Delta): Promise<Result<Revision, Refusal>> {
    const stop = new AbortController()
    const verdict = this.options.replica.awaitVerdict(delta.publish, stop.signal)
    const result = await Promise.race([verdict, this.append(delta, stop.signal)])
    stop.abort()
    if (result === undefined) return err(refuse(Reason.LogUnavailable, 'The log did not take the delta.', RETRY_AFTER_MS))
    if (result === Execution.Unknown) return err(describeUnknown(delta))
    if (typeof result === 'string') return this.explainOutcome(result)
    return result.outcome === Outcome.Accepted ? ok(this.options.replica.current()) : err(describeVerdict(result))
  }

  /** Ends only when the time is over; the verdict comes from the records read. */
  private async append (delta: Delta, signal: AbortSignal): Promise<Execution.Unknown | undefined> {
    const { clock, patience, publishMs } = this.options
    const backoff = new Backoff(patience)
    const endMs = clock.now() + publishMs
    let undecided = false
    let appended = false
    while (!signal.aborted && clock.now() < endMs) {
      if (!appended) {
        const answer = await this.send(delta)
        appended = answer.isOk()
        undecided ||= appended || (answer.isErr() && answer.error.failure === LogFailure.Unknown)
      }
      if (undecided) await this.options.feed.catchUp()
      await backoff.wait(signal)
    }
    return undecided ? Execution.Unknown : undefined
  }

  private async send (delta: Delta): Promise<Result<number, LogError>> {
    const { log, stream, clock, patience, replica } = this.options
    const sentMs = clock.now()
    const answer = await limitTime(() => log.append(stream, delta), patience.appendMs)
    if (answer.isOk() && answer.value === replica.position) {
      replica.take([{ offset: answer.value, data: JSON.parse(JSON.stringify(delta)) }])
      replica.confirm(sentMs)
    }
    return answer
  }

  private explainOutcome (outcome: Outcome): Result<Revision, Refusal> {
    if (outcome === Outcome.Accepted) return ok(this.options.replica.current())
    const reason = outcome === Outcome.Conflict ? Reason.Conflict : Reason.BadRequest
    return err(refuse(reason, 'This publication was rejected before. Publish it again under a new publish id.'))
  }
}

function describeVerdict (verdict: Verdict): Refusal {
  if (verdict.outcome === Outcome.Invalid) return refuse(Reason.BadRequest, describeErrors(verdict.errors))
  const objects = verdict.conflicts.map(({ section, name, changedAt }) => `${section}/${name} at revision ${changedAt}`)
  return refuse(Reason.Conflict, `Changed since the base revision: ${objects.join(', ')}. Read the configuration again and repeat the change.`)
}

function describeErrors (errors: Verdict['errors']): string {
  return errors.map(({ path, mistake, mend }) => `${path}: ${mistake}. ${mend}`).join(' ')
}

function describeUnknown (delta: Delta): Refusal {
  return {
    reason: Reason.LogUnavailable,
    detail: `It is not known whether the delta took effect. Publish it again with the same id, "${delta.publish}".`,
    execution: Execution.Unknown,
    retryAfterMs: RETRY_AFTER_MS
  }
}
