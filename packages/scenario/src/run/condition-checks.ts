/**
 * Checks once whether a condition of a scenario holds. A condition on a load stops the load first.
 */
import { err, ok, type Result } from 'neverthrow'
import { compareEpochs } from '@fireflymount/protocol/epoch'
import type { LogPage } from '@fireflymount/service-clients/log'
import { callJson } from '../cell/http.js'
import { findViolations } from '../check/invariants.js'
import type { Run } from '../check/evidence.js'
import { Comparison, Subject, type Condition } from '../language/syntax-tree.js'
import { fetchJob, readMonotonicMs } from './caller.js'
import { matchesOutcome, type SubmittedJob } from './sent-work.js'
import { secretOf } from './operator.js'
import type { ScenarioContext } from './context.js'
import { findOwner, resolveOne, resolveTarget, workersOf } from './targets.js'

const END_STATES = ['succeeded', 'failed', 'cancelled', 'unknown']
const MAX_CONCURRENT_JOB_READS = 200
/** Reasons for a refusal that count as the key not working. */
const KEY_REFUSALS: ReadonlySet<string> = new Set(['bad-key', 'configuration-stale'])

type CheckResult = Result<void, string>

/**
 * Checks whether a condition holds now.
 *
 * @param context the scenario's state
 * @param condition the condition
 * @returns nothing, or a description of the actual state
 *
 * @example
 * const met = await checkCondition(context, condition)
 */
export async function checkCondition (context: ScenarioContext, condition: Condition): Promise<CheckResult> {
  switch (condition.subject) {
    case Subject.Job: return checkJobs(context, condition)
    case Subject.Starts: return checkStarts(context, condition)
    case Subject.Request: return checkRequests(context, condition)
    case Subject.Service: return checkService(context, condition)
    case Subject.Gap: return checkGap(context, condition)
    case Subject.Owner: return checkOwner(context, condition)
    case Subject.Ready: return checkReady(context, condition)
    case Subject.Exited: return checkExited(context, condition)
    case Subject.Revision: return checkRevision(context)
    case Subject.Key: return checkKey(context, condition)
    case Subject.Load: return checkLoad(context, condition)
    case Subject.Quiet: return checkQuiet(context, condition)
    case Subject.Adopted: return checkAdopted(context, condition)
    case Subject.Stream: return checkStream(context, condition)
    // The secrets of all callers' keys in scenarios start with this text. The administration key's secret does not, and is not
    // checked.
    case Subject.Clean: return context.cell.checkForSecret(secretOf(''))
    case Subject.Invariants: return checkInvariants(context)
  }
}

async function checkJobs (context: ScenarioContext, { name, states, count, comparison }: Condition): Promise<CheckResult> {
  const jobs = context.sentWork.jobs(name)
  const seen = new Map<string, number>()
  for (let start = 0; start < jobs.length; start += MAX_CONCURRENT_JOB_READS) {
    const some = await Promise.all(jobs.slice(start, start + MAX_CONCURRENT_JOB_READS).map((job) => readState(context, job)))
    for (const state of some) seen.set(state, (seen.get(state) ?? 0) + 1)
  }
  const wanted = states.flatMap((state) => state === 'ended' ? END_STATES : [state])
  const found = wanted.reduce((sum, state) => sum + (seen.get(state) ?? 0), 0)
  return compare(found, count ?? jobs.length, comparison, `jobs ${name} ${states.join(' or ')}`, describeCounts(seen))
}

async function readState (context: ScenarioContext, job: SubmittedJob): Promise<string> {
  if (job.id === undefined) return job.outcome
  const found = await fetchJob(context.pickApi(), job.id, job.bearer)
  return found?.state ?? 'unanswered'
}

async function checkStarts (context: ScenarioContext, { name, count, comparison }: Condition): Promise<CheckResult> {
  await context.refresh()
  const nonces = context.sentWork.nonces(name)
  const isService = nonces.size === 0
  const found = context.eventHistories.runs().filter((run) => isService ? run.kind === name : nonces.has(run.nonce ?? '')).length
  return compare(found, count ?? 0, comparison, `starts of ${name}`, '')
}

function checkRequests (context: ScenarioContext, { name, states, count, comparison }: Condition): CheckResult {
  const answers = context.sentWork.answersOf(name)
  const found = answers.filter((answer) => matchesOutcome(answer, states)).length
  const seen = new Map<string, number>()
  for (const answer of answers) seen.set(answer.outcome, (seen.get(answer.outcome) ?? 0) + 1)
  if (count === undefined && answers.length === 0) return err(`No request "${name}" has an answer.`)
  return compare(found, count ?? answers.length, comparison, `requests ${name} ${states.join(' or ')}`, describeCounts(seen))
}

async function checkService (context: ScenarioContext, { name, count, comparison }: Condition): Promise<CheckResult> {
  await context.refresh()
  const found = context.eventHistories.runs().filter((run) => run.kind === name && run.endedMs === undefined).length
  return compare(found, count ?? 0, comparison, `of service ${name} running`, '')
}

async function checkGap (context: ScenarioContext, { name, ms }: Condition): Promise<CheckResult> {
  await context.refresh()
  const gapMs = findLongestGap(context.eventHistories.runs().filter((run) => run.kind === name), readMonotonicMs())
  return gapMs < (ms ?? 0) ? ok() : err(`The service "${name}" was interrupted for ${Math.round(gapMs)} ms.`)
}

/**
 * Finds the longest period without any run after the first start.
 *
 * @param runs the runs, in order of their starts
 * @param nowMs end of the observed time
 * @returns the longest gap in milliseconds; `Infinity` if there is no run
 */
export function findLongestGap (runs: readonly Run[], nowMs: number): number {
  if (runs.length === 0) return Infinity
  let longest = 0
  let coveredMs = runs[0]!.startedMs
  for (const run of runs) {
    longest = Math.max(longest, run.startedMs - coveredMs)
    coveredMs = Math.max(coveredMs, run.endedMs ?? nowMs)
  }
  return Math.max(longest, nowMs - coveredMs)
}

async function checkOwner (context: ScenarioContext, { name, target, negated }: Condition): Promise<CheckResult> {
  const owner = await findOwner(context, name)
  const node = await resolveOne(context, target!)
  if (node.isErr()) return err(node.error)
  if ((owner === node.value) !== (negated ?? false) && owner !== '') return ok()
  return err(`The owner of "${name}" is "${owner}".`)
}

async function checkReady (context: ScenarioContext, { name, negated }: Condition): Promise<CheckResult> {
  const names = name === '' ? context.cell.runningNodes() : [context.aliases.get(name) ?? name]
  for (const node of names) {
    const response = await callJson(`${context.cell.nodes.get(node)?.api}/readyz`)
    const ready = response.isOk() && response.value.status === 200
    if (ready === (negated ?? false)) return err(`The node "${node}" is ${ready ? '' : 'not '}ready.`)
  }
  return ok()
}

function checkExited (context: ScenarioContext, { name, negated }: Condition): CheckResult {
  const node = context.aliases.get(name) ?? name
  const exit = context.cell.child(node)?.exit()
  if (negated) return exit === undefined ? ok() : err(`"${node}" has exited with ${exit}.`)
  return exit === 0 ? ok() : err(`"${node}" ${exit === undefined ? 'is still running' : `has exited with ${exit}`}.`)
}

async function checkRevision (context: ScenarioContext): Promise<CheckResult> {
  const revisions = new Map<string, number>()
  for (const name of context.cell.runningNodes()) {
    if (context.unresponsiveNodes.has(name)) continue
    revisions.set(name, await context.operator.fetchRevision(context.cell.nodes.get(name)!.api) ?? -1)
  }
  const distinct = new Set(revisions.values())
  if (distinct.size === 1 && !distinct.has(-1) && Math.max(...distinct) >= context.operator.newestRevision()) return ok()
  const note = distinct.has(-1) ? ' (-1: no response or no configuration)' : ''
  return err(`The newest revision is ${context.operator.newestRevision()} and the nodes have ${describeCounts(revisions)}${note}.`)
}

async function checkKey (context: ScenarioContext, { name, target, negated }: Condition): Promise<CheckResult> {
  const nodes = target === undefined ? ok(context.cell.runningNodes()) : await resolveTarget(context, target)
  if (nodes.isErr()) return err(nodes.error)
  const apis = nodes.value.map((node) => context.cell.nodes.get(node)!.api)
  const upstream = context.operator.manifest.upstreams[0]?.name ?? ''
  for (const api of apis) {
    // Reads a job that need not exist: only a refusal of the key matters.
    const response = await callJson(`${api}/v1/jobs/${upstream}.0`, {
      headers: { authorization: `Bearer ${name}.${secretOf(name)}` }
    })
    if (response.isErr()) return err(`The node at ${api} did not respond: ${response.error}`)
    // The reason is the type of the problem without its prefix, e.g. `urn:fireflymount:problem:`.
    const reason = ((response.value.body as { type?: string } | undefined)?.type ?? '').replace(/^.*:/, '')
    const works = !KEY_REFUSALS.has(reason)
    if (works === (negated ?? false)) return err(`The key "${name}" ${works ? 'works' : `does not work (${reason})`} at ${api}.`)
  }
  return ok()
}

async function checkLoad (context: ScenarioContext, { name, states }: Condition): Promise<CheckResult> {
  const load = context.loads.get(name)
  if (load === undefined) return err(`There is no load "${name}".`)
  await load.stop()
  const wanted = states.flatMap((state) => state === 'clean' ? ['answered', 'accepted'] : [state])
  const seen = new Map<string, number>()
  for (const answer of load.answers) seen.set(answer.outcome, (seen.get(answer.outcome) ?? 0) + 1)
  const unexpected = load.answers.filter((answer) => !matchesOutcome(answer, wanted)).length
  if (load.answers.length === 0) return err(`The load "${name}" sent nothing.`)
  return unexpected === 0
    ? ok()
    : err(`${unexpected} of ${load.answers.length} answers of the load "${name}" were not ${states.join(' or ')}: ${describeCounts(seen)}.`)
}

async function checkQuiet (context: ScenarioContext, { name }: Condition): Promise<CheckResult> {
  await context.refresh()
  const workers = new Set(workersOf(context, name))
  const running = context.eventHistories.runs().filter((run) => workers.has(run.worker) && run.endedMs === undefined).length
  return running === 0 ? ok() : err(`${running} runs are still in progress on the workers of "${name}".`)
}

async function checkAdopted (context: ScenarioContext, { name }: Condition): Promise<CheckResult> {
  await context.refresh()
  const workers = workersOf(context, name)
  const newest = context.eventHistories.epoch(workers)
  const others = workers.filter((worker) => compareEpochs(context.eventHistories.epoch([worker]), newest) !== 0)
  if (newest.counter > 0 && others.length === 0) return ok()
  if (newest.counter === 0) return err(`No worker of "${name}" was adopted under any epoch.`)
  return err(`The epoch of "${name}" is ${newest.counter}:${newest.node}, and these workers were not adopted under it: ${others.join(', ')}.`)
}

async function checkStream (context: ScenarioContext, { name, count = 0 }: Condition): Promise<CheckResult> {
  const page = await context.cell.callPlatform('GET', `log/streams/${name}?from=${count - 1}`)
  if (page.isErr()) return err(page.error)
  const { records } = page.value as LogPage
  return records.length > 0 ? ok() : err(`The stream "${name}" has fewer than ${count} records.`)
}

async function checkInvariants (context: ScenarioContext): Promise<CheckResult> {
  const violations = findViolations(await context.collectEvidence())
  if (context.eventHistories.incomplete) return err('A worker dropped entries of its event history, so the invariants cannot be checked.')
  if (violations.length === 0) return ok()
  return err(violations.map((violation) => `${violation.invariant}: ${violation.detail}`).join('; '))
}

function compare (found: number, wanted: number, comparison: Comparison | undefined, what: string, seen: string): CheckResult {
  if (comparison === Comparison.AtMost && found <= wanted) return ok()
  if (comparison === Comparison.AtLeast && found >= wanted) return ok()
  if ((comparison === undefined || comparison === Comparison.Exactly) && found === wanted) return ok()
  return err(`Expected ${(comparison ?? Comparison.Exactly).replace('-', ' ')} ${wanted} ${what}, but there are ${found}${seen === '' ? '' : ` (${seen})`}.`)
}

function describeCounts (counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([name, count]) => `${name} ${count}`).join(', ')
}
