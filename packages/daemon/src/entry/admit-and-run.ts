/**
 * Checks that apply to all work before it is sent to the owner of its shard: the key, the limits on requests in progress, and the
 * body.
 */
import { err, type Result } from 'neverthrow'
import { readJson } from './body.js'
import { createProblem, type Problem } from './problem.js'
import type { Context } from 'hono'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { ApiContext } from './api-context.js'

/**
 * Admits a request for the team of its key, reads its body and runs the work.
 *
 * @param api the dependencies of the API
 * @param context the request context
 * @param queue the queue that the work is sent to
 * @param work runs the work for a team with the body of the request
 * @returns the result of the work, or why it was not admitted
 *
 * @example
 * return await admitAndRun(api, context, queue, (team, body) => submit(team, body))
 */
export async function admitAndRun<T> (
  api: ApiContext, context: Context, queue: Queue, work: (team: string, body: unknown) => Promise<Result<T, Problem>>
): Promise<Result<T, Problem>> {
  const team = api.access.teamFor(queue, context.req.header('authorization'))
  if (team.isErr()) return err(createProblem(team.error))
  const slot = api.admission.admit(team.value, queue.name)
  if (slot.isErr()) return err(createProblem(slot.error))
  try {
    const body = await readJson(context.req.raw, api.settings.limits.bodyBytes)
    if (body.isErr()) return err(body.error)
    return await work(team.value, body.value)
  } finally {
    slot.value.release()
  }
}
