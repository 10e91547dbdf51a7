/**
 * Runs the steps of a scenario. Every step returns nothing, or why it failed.
 */
import { err, ok, type Result } from 'neverthrow'
import type { Timing } from '@fireflymount/manifest/settings'
import {
  Verb, type Action, type ApplyStep, type CancelStep, type ExpectStep, type KeyStep, type LoadStep, type RaceStep, type Step
} from '../language/syntax-tree.js'
import { cancelJob, readMonotonicMs } from './caller.js'
import { checkCondition } from './condition-checks.js'
import { Load } from './load.js'
import { waitForNextPoll } from './operator.js'
import { runLeave, runFault, runLink, runList, runLog, runSignal, runStart } from './processes.js'
import type { ScenarioContext } from './context.js'
import { resolveOne } from './targets.js'
import { createWorkToSend, runRequests, runSubmissions, sendTracked } from './work.js'

const MAX_CONCURRENT_CANCELLATIONS = 200

/** The result of a step: nothing, or why it failed. */
export type StepResult = Result<void, string>

/**
 * Runs one step.
 *
 * @param context the scenario's state
 * @param action the step
 * @returns nothing, or why it failed
 *
 * @example
 * const outcome = await runStep(context, step.action)
 */
export async function runStep (context: ScenarioContext, action: Action): Promise<StepResult> {
  switch (action.verb) {
    case Verb.Start: return runStart(context, action)
    case Verb.Timing: return setTiming(context, action.name, action.ms)
    case Verb.Signal: return runSignal(context, action)
    case Verb.Link: return runLink(context, action)
    case Verb.Log: return runLog(context, action)
    case Verb.List: return runList(context, action)
    case Verb.Leave: return runLeave(context, action)
    case Verb.Fault: return runFault(context, action)
    case Verb.Apply: return apply(context, action)
    case Verb.Key: return changeKey(context, action)
    case Verb.Submit: return runSubmissions(context, action)
    case Verb.Request: return runRequests(context, action)
    case Verb.Cancel: return cancel(context, action)
    case Verb.Race: return race(context, action)
    case Verb.Load: return startLoad(context, action)
    case Verb.Expect: return expectCondition(context, action)
  }
}

function setTiming (context: ScenarioContext, name: string, ms: number): StepResult {
  if (!(name in context.cell.timing)) return err(`There is no timing setting "${name}". Use one of ${Object.keys(context.cell.timing).join(', ')}.`)
  context.cell.timing = { ...context.cell.timing, [name as keyof Timing]: ms }
  return ok()
}

async function apply (context: ScenarioContext, { file, name, at, expected }: ApplyStep): Promise<StepResult> {
  const api = await findApi(context, at)
  if (api.isErr()) return err(api.error)
  const sentMs = readMonotonicMs()
  const outcome = await context.operator.apply(api.value, file)
  if (name !== undefined) {
    const nonce = context.sentWork.nextNonce()
    context.sentWork.addAnswer({
      name, nonce, queue: '', sentMs, answeredMs: readMonotonicMs(), outcome, hasResult: false, isComplete: true
    })
  }
  return checkOutcome(`apply "${file}"`, outcome, expected)
}

async function changeKey (context: ScenarioContext, { granted, key, team, at }: KeyStep): Promise<StepResult> {
  const api = await findApi(context, at)
  if (api.isErr()) return err(api.error)
  const outcome = await context.operator.changeKey(api.value, key, granted ? team : undefined)
  return checkOutcome(`the change of key ${key}`, outcome, ['accepted'])
}

async function cancel (context: ScenarioContext, { name }: CancelStep): Promise<StepResult> {
  const jobs = context.sentWork.jobs(name).filter((job) => job.id !== undefined)
  for (let start = 0; start < jobs.length; start += MAX_CONCURRENT_CANCELLATIONS) {
    const some = jobs.slice(start, start + MAX_CONCURRENT_CANCELLATIONS)
    const statuses = await Promise.all(some.map((job) => cancelJob(context.pickApi(), job.id!, job.bearer)))
    const refused = statuses.find((status) => status !== 200)
    if (refused !== undefined) return err(`A cancellation of "${name}" returned status ${refused} (0: no complete response).`)
  }
  return ok()
}

async function race (context: ScenarioContext, { steps }: RaceStep): Promise<StepResult> {
  const results = await Promise.all(steps.map((step: Step) => runStep(context, step.action)))
  return results.find((result) => result.isErr()) ?? ok()
}

function startLoad (context: ScenarioContext, action: LoadStep): StepResult {
  const work = { ...action, count: 1, fails: false, expected: [] }
  context.loads.set(action.name, new Load(action.perSecond, async () => {
    const workToSend = createWorkToSend(context, work, context.operator.isSynchronous(action.queue))
    return (await sendTracked(context, workToSend)).answer
  }))
  return ok()
}

async function expectCondition (context: ScenarioContext, { condition, withinMs, forMs }: ExpectStep): Promise<StepResult> {
  const startedMs = performance.now()
  while (!context.finished) {
    const met = await checkCondition(context, condition)
    const passedMs = performance.now() - startedMs
    if (forMs !== undefined) {
      if (met.isErr()) return err(`After ${Math.round(passedMs)} ms: ${met.error}`)
      if (passedMs >= forMs) return ok()
    } else {
      if (met.isOk()) return ok()
      if (passedMs >= (withinMs ?? 0)) return err(withinMs === undefined ? met.error : `Not within ${withinMs} ms: ${met.error}`)
    }
    await waitForNextPoll()
  }
  return err('The scenario has finished.')
}

async function findApi (context: ScenarioContext, at: ApplyStep['at']): Promise<Result<string, string>> {
  if (at === undefined) return ok(context.pickApi())
  const name = await resolveOne(context, at)
  return name.map((node) => context.cell.nodes.get(node)?.api ?? '')
}

function checkOutcome (what: string, outcome: string, expected: readonly string[]): StepResult {
  if (expected.includes(outcome)) return ok()
  return err(`Expected ${expected.join(' or ')} for ${what}, but it was ${outcome}.`)
}
