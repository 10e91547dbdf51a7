/**
 * The steps that submit jobs and send requests.
 */
import { err, ok, type Result } from 'neverthrow'
import type { RequestStep, SubmitStep, Work } from '../language/syntax-tree.js'
import { sendWork, type SendResult, type WorkToSend } from './caller.js'
import { matchesOutcome } from './sent-work.js'
import { secretOf } from './operator.js'
import type { ScenarioContext } from './context.js'
import { resolveOne } from './targets.js'

const MAX_CONCURRENT_SUBMISSIONS = 100

/**
 * Submits the jobs of a step and checks their answers.
 *
 * @param context the scenario's state
 * @param step the step
 * @returns nothing, or why it failed
 */
export async function runSubmissions (context: ScenarioContext, step: SubmitStep): Promise<Result<void, string>> {
  const api = await findApi(context, step)
  if (api.isErr()) return err(api.error)
  return sendAll(context, step, false, api.value)
}

/**
 * Sends the requests of a step concurrently, and checks their answers unless the step runs in the background.
 *
 * @param context the scenario's state
 * @param step the step
 * @returns nothing, or why it failed
 */
export async function runRequests (context: ScenarioContext, step: RequestStep): Promise<Result<void, string>> {
  const api = await findApi(context, step)
  if (api.isErr()) return err(api.error)
  if (!step.background) return sendAll(context, step, true, api.value)
  context.backgroundSends.push(sendAll(context, step, true, api.value).then(() => undefined))
  return ok()
}

/**
 * Sends one job or request and records its nonce and answer.
 *
 * @param context the scenario's state
 * @param workToSend the job or request
 * @returns the answer
 */
export async function sendTracked (context: ScenarioContext, workToSend: WorkToSend): Promise<SendResult> {
  context.sentWork.addNonce(workToSend.name, workToSend.nonce)
  const result = await sendWork(workToSend)
  context.sentWork.addAnswer(result.answer)
  return result
}

/**
 * Creates one job or request of a step.
 *
 * @param context the scenario's state
 * @param work the step
 * @param synchronous true for a request, false for a job
 * @param api base URL of the node; absent: a node chosen at random
 * @returns the job or request to send
 */
export function createWorkToSend (
  context: ScenarioContext, work: Work, synchronous: boolean, api = context.pickApi()
): WorkToSend {
  const key = work.key ?? (work.team === undefined ? undefined : context.operator.keyOf(work.team))
  const nonce = work.idempotencyKey === undefined ? context.sentWork.nextNonce() : `once-${work.idempotencyKey}`
  const { name, queue, tasks, runMs, cpuMilli, fails, idempotencyKey } = work
  const bearer = key === undefined ? undefined : `${key}.${secretOf(key)}`
  return { name, nonce, queue, tasks, runMs, cpuMilli, fails, idempotencyKey, key, bearer, api, synchronous }
}

async function sendAll (
  context: ScenarioContext, work: Work, synchronous: boolean, api: string | undefined
): Promise<Result<void, string>> {
  const batchSize = synchronous ? work.count : MAX_CONCURRENT_SUBMISSIONS
  for (let start = 0; start < work.count; start += batchSize) {
    const count = Math.min(batchSize, work.count - start)
    const results = await Promise.all(Array.from({ length: count }, () => sendOne(context, work, synchronous, api)))
    const failed = results.find((result) => result.isErr())
    if (failed !== undefined) return failed
  }
  return ok()
}

async function sendOne (
  context: ScenarioContext, work: Work, synchronous: boolean, api: string | undefined
): Promise<Result<void, string>> {
  const workToSend = createWorkToSend(context, work, synchronous, api)
  const { answer, job } = await sendTracked(context, workToSend)
  if (!synchronous) {
    const { name, nonce, queue, bearer } = workToSend
    context.sentWork.addJob({ name, nonce, queue, team: work.team ?? '', outcome: answer.outcome, id: job, bearer })
  }
  if (work.expected.length === 0 || matchesOutcome(answer, work.expected)) return ok()
  return err(`Expected ${work.expected.join(' or ')} for "${work.name}", but it was ${answer.outcome} (execution: ${answer.execution ?? 'not stated'}).`)
}

async function findApi (context: ScenarioContext, work: Work): Promise<Result<string | undefined, string>> {
  if (work.at === undefined) return ok(undefined)
  const name = await resolveOne(context, work.at)
  return name.map((node) => context.cell.nodes.get(node)?.api)
}
