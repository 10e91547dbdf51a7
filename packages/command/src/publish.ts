/**
 * Publishes changes, and determines the outcome if the answer is lost.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout } from 'node:timers/promises'
import { err, ok, type Result } from 'neverthrow'
import { RetryPolicy, type Client } from './client.js'
import { ExitCode } from './exit-code.js'
import { CONFIGURATION_PATH, areInEffect, readEffectiveConfiguration, type Plan } from './manifest.js'
import type { Failure } from './failure.js'

const MAX_ATTEMPTS = 5
/** Delay after the first attempt; it grows linearly with each further attempt. */
const FIRST_RETRY_DELAY_MS = 200

/** A publication that took effect. */
export interface Publication {
  /**
   * The revision that the server reported for the changes, or the base revision if it reported none. If `settled` is set, the
   * revision at which the changes were found in effect; they may have taken effect at an earlier one.
   */
  readonly revision: number
  readonly publish: string
  /** True if the answer was lost and the outcome was determined by reading the configuration. */
  readonly settled: boolean
}

/**
 * Publishes a plan. If an answer is lost, reads the configuration. If the changes are not in effect, sends the same delta again.
 * It cannot take effect twice, because it has the same publish id and the same base revision.
 *
 * @param client the client
 * @param plan the plan, with at least one change
 * @param checkAdvice a sentence that says how to check whether the changes are in effect; used if the outcome stays unknown
 * @returns the publication, or the failure
 */
export async function publishPlan (client: Client, plan: Plan, checkAdvice: string): Promise<Result<Publication, Failure>> {
  const publish = randomUUID()
  const body = { base: plan.base, publish, changes: plan.changes }
  let lostAnswer: Failure | undefined
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    const answer = await client.call({ method: 'PATCH', path: CONFIGURATION_PATH, retry: RetryPolicy.Never, body })
    if (answer.isOk()) return ok({ revision: readPublishedRevision(answer.value.body) ?? plan.base, publish, settled: false })
    if (lostAnswer === undefined && answer.error.exit !== ExitCode.Unknown) return err(answer.error)
    const effective = await readEffectiveConfiguration(client)
    if (effective.isOk() && areInEffect(effective.value.manifest, plan.changes)) {
      return ok({ revision: effective.value.revision, publish, settled: true })
    }
    if (answer.error.exit !== ExitCode.Unknown && answer.error.exit !== ExitCode.Unreachable) return err(answer.error)
    lostAnswer = answer.error.exit === ExitCode.Unknown ? answer.error : lostAnswer
    await setTimeout(FIRST_RETRY_DELAY_MS * attempt)
  }
  return err({ ...lostAnswer!, message: `${lostAnswer!.message} ${checkAdvice}` })
}

function readPublishedRevision (body: unknown): number | undefined {
  return (body as { revision?: number } | undefined)?.revision
}
