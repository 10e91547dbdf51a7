/**
 * Publishes changes, and determines the outcome if the answer is lost.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout } from 'node:timers/promises'
import { err, ok, type Result } from 'neverthrow'
import { RetryPolicy, type Client } from './client.js'
import { ExitCode } from './exit-code.js'
import { CONFIGURATION_PATH, areInEffect, readEffective, type Plan } from './manifest.js'
import type { Failure } from './failure.js'

const MAX_ATTEMPTS = 5
/** Delay after the first attempt; it grows linearly with each further attempt. */
const FIRST_RETRY_DELAY_MS = 200

/** A publication that took effect. */
export interface Publication {
  /** A revision at which the changes are in effect; if `settled` is set, they may have taken effect at an earlier one. */
  readonly revision: number
  readonly publish: string
  /** True if the answer was lost and the outcome was determined by reading the configuration. */
  readonly settled: boolean
}

/**
 * Publishes a plan. If an answer is lost, reads the configuration. If the changes are not in effect, sends the same publication
 * again, which cannot take effect twice because it has the same publish id and the same base revision.
 *
 * @param client the client
 * @param plan the plan, with at least one change
 * @returns the publication, or the failure
 */
export async function publishPlan (client: Client, plan: Plan): Promise<Result<Publication, Failure>> {
  const publish = randomUUID()
  const body = { base: plan.base, publish, changes: plan.changes }
  let lostAnswer: Failure | undefined
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    const reply = await client.call({ method: 'PATCH', path: CONFIGURATION_PATH, retry: RetryPolicy.Never, body })
    if (reply.isOk()) return ok({ revision: readPublishedRevision(reply.value.body) ?? plan.base, publish, settled: false })
    if (lostAnswer === undefined && reply.error.exit !== ExitCode.Unknown) return err(reply.error)
    const effective = await readEffective(client)
    if (effective.isOk() && areInEffect(effective.value.manifest, plan.changes)) {
      return ok({ revision: effective.value.revision, publish, settled: true })
    }
    if (reply.error.exit !== ExitCode.Unknown && reply.error.exit !== ExitCode.Unreachable) return err(reply.error)
    lostAnswer = reply.error.exit === ExitCode.Unknown ? reply.error : lostAnswer
    await setTimeout(FIRST_RETRY_DELAY_MS * attempt)
  }
  const message = `${lostAnswer!.message} Run "fireflymount plan" with the same file to see which changes are not in effect.`
  return err({ ...lostAnswer!, message })
}

function readPublishedRevision (body: unknown): number | undefined {
  return (body as { revision?: number } | undefined)?.revision
}
