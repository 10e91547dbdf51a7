/**
 * What every piece of work passes before it is sent on: its key, the limits on requests in progress, its body.
 */
import { err, type Result } from 'neverthrow'
import { readJson } from './body.js'
import { createProblem, type Problem } from './problem.js'
import type { Context } from 'hono'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { Entry } from './parts.js'

/**
 * Runs work for the team whose key came with it, within the limits.
 *
 * @param entry the parts of the API
 * @param context the call
 * @param queue the queue that the work is sent to
 * @param work does the work for a team with the body of the call
 * @returns the outcome of the work, or why it was not admitted
 *
 * @example
 * return await runAdmitted(entry, context, queue, (team, body) => submit(team, body))
 */
export async function runAdmitted<T> (
  entry: Entry, context: Context, queue: Queue, work: (team: string, body: unknown) => Promise<Result<T, Problem>>
): Promise<Result<T, Problem>> {
  const team = entry.access.teamFor(queue, context.req.header('authorization'))
  if (team.isErr()) return err(createProblem(team.error))
  const place = entry.admission.enter(team.value, queue.name)
  if (place.isErr()) return err(createProblem(place.error))
  try {
    const body = await readJson(context.req.raw, entry.settings.limits.bodyBytes)
    if (body.isErr()) return err(body.error)
    return await work(team.value, body.value)
  } finally {
    place.value.leave()
  }
}
