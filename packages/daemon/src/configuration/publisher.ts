/**
 * Publishes deltas through the log, whose order decides their outcome.
 */
import { parseDelta } from '@fireflymount/manifest/delta-codec'
import type { Delta } from '@fireflymount/manifest/delta'
import { Outcome, type DeltaResult } from '@fireflymount/manifest/delta-result'
import type { Clock } from '@fireflymount/service-clients/clock'
import { LogFailure, type Log, type LogError } from '@fireflymount/service-clients/log'
import { Backoff, withTimeout, type LogCallSettings } from '@fireflymount/service-clients/retry'
import { Execution, Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import type { Revision } from './configuration.js'
import type { Feed } from './feed.js'
import type { Replica } from './replica.js'

/**
 * A record of the log is limited to 1 MB (bytes). 100 000 of them are reserved for the fields that the log adds. This constant
 * counts characters of JSON, not bytes, so a delta with many non-ASCII characters can exceed the limit.
 */
const MAX_DELTA_CHARACTERS = 900_000
const RETRY_AFTER_MS = 2000

/** Constructor arguments of `Publisher`. */
export interface PublisherOptions {
  readonly log: Log
  readonly stream: string
  readonly clock: Clock
  readonly replica: Replica
  readonly feed: Feed
  readonly callSettings: LogCallSettings
  /** Longest wait for the outcome of a publication. */
  readonly publishTimeoutMs: number
}

/** Appends a delta to the log, with retries, until its result is known. */
export class Publisher {
  constructor (private readonly options: PublisherOptions) {}

  /**
   * Publishes a delta.
   *
   * @param value the delta
   * @returns the revision that includes it, or a refusal; its `execution` is unknown if the delta may have taken effect
   */
  async publish (value: Delta): Promise<Result<Revision, Refusal>> {
    const parsed = parseDelta(value)
    if (parsed.isErr()) return err(refuse(Reason.BadRequest, describeErrors(parsed.error)))
    if (JSON.stringify(value).length > MAX_DELTA_CHARACTERS) {
      return err(refuse(Reason.TooLarge, `A delta may have at most ${MAX_DELTA_CHARACTERS} characters. Split it.`))
    }
    const { replica } = this.options
    const knownOutcome = replica.state.outcomeOf(value.publish)
    if (knownOutcome !== undefined) return this.resultOf(knownOutcome)
    const preview = replica.state.preview(value)
    if (preview.outcome === Outcome.Conflict) return err(describeRejection(preview))
    return await this.awaitOutcome(parsed.value)
  }

  private async awaitOutcome (delta: Delta): Promise<Result<Revision, Refusal>> {
    const stopAppending = new AbortController()
    const pendingResult = this.options.replica.awaitResult(delta.publish, stopAppending.signal)
    const result = await Promise.race([pendingResult, this.appendUntilStopped(delta, stopAppending.signal)])
    stopAppending.abort()
    if (result === undefined) return err(refuse(Reason.LogUnavailable, 'The log did not accept the delta.', RETRY_AFTER_MS))
    if (result === Execution.Unknown) return err(describeUnknown(delta))
    if (typeof result === 'string') return this.resultOf(result)
    return result.outcome === Outcome.Accepted ? ok(this.options.replica.current()) : err(describeRejection(result))
  }

  /**
   * Returns only after the timeout or an abort. Returns `Execution.Unknown` if an append may have taken effect, else undefined.
   * The result of the delta is delivered separately, by the records that are read.
   */
  private async appendUntilStopped (delta: Delta, signal: AbortSignal): Promise<Execution.Unknown | undefined> {
    const { clock, callSettings, publishTimeoutMs } = this.options
    const backoff = new Backoff(callSettings)
    const endMs = clock.now() + publishTimeoutMs
    let mayTakeEffect = false
    let appended = false
    while (!signal.aborted && clock.now() < endMs) {
      if (!appended) {
        const answer = await this.appendOnce(delta)
        appended = answer.isOk()
        mayTakeEffect ||= appended || (answer.isErr() && answer.error.failure === LogFailure.Unknown)
      }
      if (mayTakeEffect) await this.options.feed.catchUp()
      await backoff.wait(signal)
    }
    return mayTakeEffect ? Execution.Unknown : undefined
  }

  private async appendOnce (delta: Delta): Promise<Result<number, LogError>> {
    const { log, stream, clock, callSettings, replica } = this.options
    const sentMs = clock.now()
    const answer = await withTimeout(() => log.append(stream, delta), callSettings.appendTimeoutMs)
    if (answer.isOk() && answer.value === replica.position) {
      replica.applyRecords([{ offset: answer.value, data: JSON.parse(JSON.stringify(delta)) }])
      replica.confirm(sentMs)
    }
    return answer
  }

  private resultOf (outcome: Outcome): Result<Revision, Refusal> {
    if (outcome === Outcome.Accepted) return ok(this.options.replica.current())
    const reason = outcome === Outcome.Conflict ? Reason.Conflict : Reason.BadRequest
    return err(refuse(reason, 'A publication with this id was already rejected. Publish again with a new publish id.'))
  }
}

function describeRejection (deltaResult: DeltaResult): Refusal {
  if (deltaResult.outcome === Outcome.Invalid) return refuse(Reason.BadRequest, describeErrors(deltaResult.errors))
  const objects = deltaResult.conflicts.map(({ section, name, changedAt }) => `${section}/${name} at revision ${changedAt}`)
  return refuse(Reason.Conflict, `Changed since the base revision: ${objects.join(', ')}. Read the configuration again and repeat the change.`)
}

function describeErrors (errors: DeltaResult['errors']): string {
  return errors.map(({ path, mistake: error, mend: remedy }) => `${path}: ${error}. ${remedy}`).join(' ')
}

function describeUnknown (delta: Delta): Refusal {
  return {
    reason: Reason.LogUnavailable,
    detail: `It is unknown whether the delta took effect. Publish it again with the same id, "${delta.publish}".`,
    execution: Execution.Unknown,
    retryAfterMs: RETRY_AFTER_MS
  }
}
