/**
 * Publishes changes and settles lost answers.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout } from 'node:timers/promises'
import { err, ok, type Result } from 'neverthrow'
import { Repeat, type Client } from './client.js'
import { Exit } from './exit.js'
import { CONFIGURATION_PATH, areInEffect, readEffective, type Plan } from './manifest.js'
import type { Failure } from './failure.js'

const MOST_ATTEMPTS = 5
const FIRST_PAUSE_MS = 200

/** A publication that took effect. */
export interface Publication {
  /** Revision at which the changes are in effect, at the latest. */
  readonly revision: number
  readonly publish: string
  /** The answer was lost and the outcome was read back. */
  readonly settled: boolean
}

/**
 * Publishes a plan. If an answer is lost, reads the configuration back: the changes are in effect, or the same
 * publication is sent again, which cannot take effect twice because of its id and its base revision.
 *
 * @param client the client
 * @param plan the plan, with at least one change
 * @returns the publication, or why it did not take effect
 */
export async function publishPlan (client: Client, plan: Plan): Promise<Result<Publication, Failure>> {
  const publish = randomUUID()
  const body = { base: plan.base, publish, changes: plan.changes }
  let lost: Failure | undefined
  for (let attempt = 1; attempt <= MOST_ATTEMPTS; attempt++) {
    const reply = await client.call({ method: 'PATCH', path: CONFIGURATION_PATH, repeat: Repeat.Never, body })
    if (reply.isOk()) return ok({ revision: readResult(reply.value.body) ?? plan.base, publish, settled: false })
    if (lost === undefined && reply.error.exit !== Exit.Unknown) return err(reply.error)
    const effective = await readEffective(client)
    if (effective.isOk() && areInEffect(effective.value.manifest, plan.changes)) {
      return ok({ revision: effective.value.revision, publish, settled: true })
    }
    if (reply.error.exit !== Exit.Unknown && reply.error.exit !== Exit.Unreachable) return err(reply.error)
    lost = reply.error.exit === Exit.Unknown ? reply.error : lost
    await setTimeout(FIRST_PAUSE_MS * attempt)
  }
  const message = `${lost!.message} Run "fireflymount plan" on the same file to see what is in effect.`
  return err({ ...lost!, message })
}

function readResult (body: unknown): number | undefined {
  return (body as { revision?: number } | undefined)?.revision
}
