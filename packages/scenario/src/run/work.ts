/**
 * Steps that send work.
 */
import { err, ok, type Result } from 'neverthrow'
import type { RequestStep, Submit, Work } from '../language/script.js'
import { sendWork, type Receipt, type Sending } from './caller.js'
import { matchesOutcome } from './ledger.js'
import { secretOf } from './operator.js'
import type { Stage } from './stage.js'
import { resolveOne } from './targets.js'

const SENDINGS_AT_ONCE = 100

/**
 * Submits the jobs of a step and checks their answers.
 *
 * @param stage the scenario's state
 * @param step the step
 * @returns nothing, or why it failed
 */
export async function runSubmissions (stage: Stage, step: Submit): Promise<Result<void, string>> {
  const api = await findApi(stage, step)
  if (api.isErr()) return err(api.error)
  return sendAll(stage, step, false, api.value)
}

/**
 * Sends the requests of a step, all at once, and checks their answers unless they are left in the background.
 *
 * @param stage the scenario's state
 * @param step the step
 * @returns nothing, or why it failed
 */
export async function runRequests (stage: Stage, step: RequestStep): Promise<Result<void, string>> {
  const api = await findApi(stage, step)
  if (api.isErr()) return err(api.error)
  if (!step.background) return sendAll(stage, step, true, api.value)
  stage.pending.push(sendAll(stage, step, true, api.value).then(() => undefined))
  return ok()
}

/**
 * Sends one piece of work and remembers what it was told.
 *
 * @param stage the scenario's state
 * @param sending the work
 * @returns what came back
 */
export async function sendTracked (stage: Stage, sending: Sending): Promise<Receipt> {
  stage.ledger.addSent(sending.name, sending.nonce)
  const receipt = await sendWork(sending)
  stage.ledger.addAnswer(receipt.answer)
  return receipt
}

/**
 * Describes one piece of work of a step, as a caller sends it.
 *
 * @param stage the scenario's state
 * @param work the step
 * @param synchronous whether it is a request
 * @param api base URL of the node; absent: any
 * @returns the work
 */
export function createSending (stage: Stage, work: Work, synchronous: boolean, api = stage.pickApi()): Sending {
  const key = work.key ?? (work.team === undefined ? undefined : stage.operator.keyOf(work.team))
  const nonce = work.idempotencyKey === undefined ? stage.ledger.nextNonce() : `once-${work.idempotencyKey}`
  const { name, queue, tasks, runMs, cpuMilli, fails, idempotencyKey } = work
  const bearer = key === undefined ? undefined : `${key}.${secretOf(key)}`
  return { name, nonce, queue, tasks, runMs, cpuMilli, fails, idempotencyKey, key, bearer, api, synchronous }
}

async function sendAll (stage: Stage, work: Work, synchronous: boolean, api: string | undefined): Promise<Result<void, string>> {
  const atOnce = synchronous ? work.count : SENDINGS_AT_ONCE
  for (let start = 0; start < work.count; start += atOnce) {
    const count = Math.min(atOnce, work.count - start)
    const outcomes = await Promise.all(Array.from({ length: count }, () => sendOne(stage, work, synchronous, api)))
    const failed = outcomes.find((outcome) => outcome.isErr())
    if (failed !== undefined) return failed
  }
  return ok()
}

async function sendOne (stage: Stage, work: Work, synchronous: boolean, api: string | undefined): Promise<Result<void, string>> {
  const sending = createSending(stage, work, synchronous, api)
  const { answer, job } = await sendTracked(stage, sending)
  if (!synchronous) {
    const { name, nonce, queue, bearer } = sending
    stage.ledger.addJob({ name, nonce, queue, team: work.team ?? '', outcome: answer.outcome, id: job, bearer })
  }
  if (work.expected.length === 0 || matchesOutcome(answer, work.expected)) return ok()
  return err(`Expected ${work.expected.join(' or ')} for "${work.name}", but it was ${answer.outcome} (${answer.execution ?? 'accepted'}).`)
}

async function findApi (stage: Stage, work: Work): Promise<Result<string | undefined, string>> {
  if (work.at === undefined) return ok(undefined)
  const name = await resolveOne(stage, work.at)
  return name.map((node) => stage.cell.nodes.get(node)?.api)
}
