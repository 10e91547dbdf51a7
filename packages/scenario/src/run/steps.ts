/**
 * Carries out the steps of a scenario. Every step returns nothing, or why it failed.
 */
import { err, ok, type Result } from 'neverthrow'
import type { Timing } from '@fireflymount/manifest/settings'
import { Verb, type Action, type Apply, type Cancel, type Expect, type KeyStep, type Load as LoadStep, type Race, type Step } from '../language/script.js'
import { cancelJob, machineNow } from './caller.js'
import { meets } from './expectations.js'
import { Load } from './load.js'
import { pause } from './operator.js'
import { runDeparture, runFault, runLink, runList, runLog, runSignal, runStart } from './processes.js'
import type { Stage } from './stage.js'
import { resolveOne } from './targets.js'
import { createSending, runRequests, runSubmissions, sendTracked } from './work.js'

const CANCELS_AT_ONCE = 200

/** Nothing, or why a step failed. */
export type Outcome = Result<void, string>

/**
 * Carries out one step.
 *
 * @param stage the scenario's state
 * @param action the step
 * @returns nothing, or why it failed
 *
 * @example
 * const outcome = await runStep(stage, step.action)
 */
export async function runStep (stage: Stage, action: Action): Promise<Outcome> {
  switch (action.verb) {
    case Verb.Start: return runStart(stage, action)
    case Verb.Timing: return setTiming(stage, action.name, action.ms)
    case Verb.Signal: return runSignal(stage, action)
    case Verb.Link: return runLink(stage, action)
    case Verb.Log: return runLog(stage, action)
    case Verb.List: return runList(stage, action)
    case Verb.Leave: return runDeparture(stage, action)
    case Verb.Fault: return runFault(stage, action)
    case Verb.Apply: return apply(stage, action)
    case Verb.Key: return changeKey(stage, action)
    case Verb.Submit: return runSubmissions(stage, action)
    case Verb.Request: return runRequests(stage, action)
    case Verb.Cancel: return cancel(stage, action)
    case Verb.Race: return race(stage, action)
    case Verb.Load: return startLoad(stage, action)
    case Verb.Expect: return expectCondition(stage, action)
  }
}

function setTiming (stage: Stage, name: string, ms: number): Outcome {
  if (!(name in stage.cell.timing)) return err(`There is no time "${name}". Use one of ${Object.keys(stage.cell.timing).join(', ')}.`)
  stage.cell.timing = { ...stage.cell.timing, [name as keyof Timing]: ms }
  return ok()
}

async function apply (stage: Stage, { file, name, at, expected }: Apply): Promise<Outcome> {
  const api = await findApi(stage, at)
  if (api.isErr()) return err(api.error)
  const sentMs = machineNow()
  const outcome = await stage.operator.apply(api.value, file)
  if (name !== undefined) {
    const nonce = stage.ledger.nextNonce()
    stage.ledger.addAnswer({ name, nonce, queue: '', sentMs, answeredMs: machineNow(), outcome, hasResult: false, whole: true })
  }
  return checkOutcome(`apply "${file}"`, outcome, expected)
}

async function changeKey (stage: Stage, { granted, key, team, at }: KeyStep): Promise<Outcome> {
  const api = await findApi(stage, at)
  if (api.isErr()) return err(api.error)
  const outcome = await stage.operator.changeKey(api.value, key, granted ? team : undefined)
  return checkOutcome(`the change of key ${key}`, outcome, ['accepted'])
}

async function cancel (stage: Stage, { name }: Cancel): Promise<Outcome> {
  const jobs = stage.ledger.jobs(name).filter((job) => job.id !== undefined)
  for (let start = 0; start < jobs.length; start += CANCELS_AT_ONCE) {
    const some = jobs.slice(start, start + CANCELS_AT_ONCE)
    const statuses = await Promise.all(some.map((job) => cancelJob(stage.pickApi(), job.id!, job.bearer)))
    const refused = statuses.find((status) => status !== 200)
    if (refused !== undefined) return err(`A cancellation of "${name}" was answered with status ${refused}.`)
  }
  return ok()
}

async function race (stage: Stage, { steps }: Race): Promise<Outcome> {
  const outcomes = await Promise.all(steps.map((step: Step) => runStep(stage, step.action)))
  return outcomes.find((outcome) => outcome.isErr()) ?? ok()
}

function startLoad (stage: Stage, action: LoadStep): Outcome {
  const work = { ...action, count: 1, fails: false, expected: [] }
  stage.loads.set(action.name, new Load(action.perSecond, async () => {
    const sending = createSending(stage, work, stage.operator.isSynchronous(action.queue))
    return (await sendTracked(stage, sending)).answer
  }))
  return ok()
}

async function expectCondition (stage: Stage, { condition, withinMs, forMs }: Expect): Promise<Outcome> {
  const startedMs = performance.now()
  while (!stage.over) {
    const met = await meets(stage, condition)
    const passedMs = performance.now() - startedMs
    if (forMs !== undefined) {
      if (met.isErr()) return err(`After ${Math.round(passedMs)} ms: ${met.error}`)
      if (passedMs >= forMs) return ok()
    } else {
      if (met.isOk()) return ok()
      if (passedMs >= (withinMs ?? 0)) return err(withinMs === undefined ? met.error : `Not within ${withinMs} ms: ${met.error}`)
    }
    await pause()
  }
  return err('The scenario is over.')
}

async function findApi (stage: Stage, at: Apply['at']): Promise<Result<string, string>> {
  if (at === undefined) return ok(stage.pickApi())
  const name = await resolveOne(stage, at)
  return name.map((node) => stage.cell.nodes.get(node)?.api ?? '')
}

function checkOutcome (what: string, outcome: string, expected: readonly string[]): Outcome {
  if (expected.includes(outcome)) return ok()
  return err(`Expected ${expected.join(' or ')} for ${what}, but it was ${outcome}.`)
}
