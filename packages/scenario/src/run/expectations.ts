/**
 * Looks once whether a condition of a scenario is met.
 */
import { err, ok, type Result } from 'neverthrow'
import type { RecordsPage } from '@fireflymount/protocol/message'
import { compareEpochs } from '@fireflymount/protocol/epoch'
import { callJson } from '../cell/http.js'
import { findViolations } from '../check/invariants.js'
import type { Run } from '../check/evidence.js'
import { Comparison, Subject, type Condition } from '../language/script.js'
import { fetchJob, machineNow } from './caller.js'
import { matchesOutcome, type JobEntry } from './ledger.js'
import { secretOf } from './operator.js'
import type { Stage } from './stage.js'
import { findOwner, resolveOne, resolveTarget, workersOf } from './targets.js'

const ENDED = ['succeeded', 'failed', 'cancelled', 'unknown']
const JOBS_AT_ONCE = 200
/** Reasons for which a node does not take a key. */
const KEY_REFUSALS: ReadonlySet<string> = new Set(['bad-key', 'configuration-stale'])

type Verdict = Result<void, string>

/**
 * Looks whether a condition is met now.
 *
 * @param stage the scenario's state
 * @param condition the condition
 * @returns nothing, or what is so instead
 *
 * @example
 * const met = await meets(stage, condition)
 */
export async function meets (stage: Stage, condition: Condition): Promise<Verdict> {
  switch (condition.subject) {
    case Subject.Job: return meetsJobs(stage, condition)
    case Subject.Starts: return meetsStarts(stage, condition)
    case Subject.Request: return meetsRequests(stage, condition)
    case Subject.Service: return meetsService(stage, condition)
    case Subject.Gap: return meetsGap(stage, condition)
    case Subject.Owner: return meetsOwner(stage, condition)
    case Subject.Ready: return meetsReady(stage, condition)
    case Subject.Exited: return meetsExited(stage, condition)
    case Subject.Revision: return meetsRevision(stage)
    case Subject.Key: return meetsKey(stage, condition)
    case Subject.Load: return meetsLoad(stage, condition)
    case Subject.Quiet: return meetsQuiet(stage, condition)
    case Subject.Adopted: return meetsAdopted(stage, condition)
    case Subject.Stream: return meetsStream(stage, condition)
    case Subject.Clean: return stage.cell.findSecret(secretOf(''))
    case Subject.Invariants: return meetsInvariants(stage)
  }
}

async function meetsJobs (stage: Stage, { name, states, count, comparison }: Condition): Promise<Verdict> {
  const jobs = stage.ledger.jobs(name)
  const seen = new Map<string, number>()
  for (let start = 0; start < jobs.length; start += JOBS_AT_ONCE) {
    const some = await Promise.all(jobs.slice(start, start + JOBS_AT_ONCE).map((job) => readState(stage, job)))
    for (const state of some) seen.set(state, (seen.get(state) ?? 0) + 1)
  }
  const wanted = states.flatMap((state) => state === 'ended' ? ENDED : [state])
  const found = wanted.reduce((sum, state) => sum + (seen.get(state) ?? 0), 0)
  return compare(found, count ?? jobs.length, comparison, `jobs ${name} ${states.join(' or ')}`, describeCounts(seen))
}

async function readState (stage: Stage, job: JobEntry): Promise<string> {
  if (job.id === undefined) return job.outcome
  const found = await fetchJob(stage.pickApi(), job.id, job.bearer)
  return found?.state ?? 'unanswered'
}

async function meetsStarts (stage: Stage, { name, count, comparison }: Condition): Promise<Verdict> {
  await stage.refresh()
  const nonces = stage.ledger.nonces(name)
  const isService = nonces.size === 0
  const found = stage.recorder.runs().filter((run) => isService ? run.kind === name : nonces.has(run.nonce ?? '')).length
  return compare(found, count ?? 0, comparison, `starts of ${name}`, '')
}

function meetsRequests (stage: Stage, { name, states, count, comparison }: Condition): Verdict {
  const answers = stage.ledger.answersOf(name)
  const found = answers.filter((answer) => matchesOutcome(answer, states)).length
  const seen = new Map<string, number>()
  for (const answer of answers) seen.set(answer.outcome, (seen.get(answer.outcome) ?? 0) + 1)
  if (count === undefined && answers.length === 0) return err(`No request "${name}" has an answer.`)
  return compare(found, count ?? answers.length, comparison, `requests ${name} ${states.join(' or ')}`, describeCounts(seen))
}

async function meetsService (stage: Stage, { name, count, comparison }: Condition): Promise<Verdict> {
  await stage.refresh()
  const found = stage.recorder.runs().filter((run) => run.kind === name && run.endedMs === undefined).length
  return compare(found, count ?? 0, comparison, `of service ${name} running`, '')
}

async function meetsGap (stage: Stage, { name, ms }: Condition): Promise<Verdict> {
  await stage.refresh()
  const gapMs = findLongestGap(stage.recorder.runs().filter((run) => run.kind === name), machineNow())
  return gapMs < (ms ?? 0) ? ok() : err(`The service "${name}" was away for ${Math.round(gapMs)} ms.`)
}

/**
 * Finds the longest time without any run, from the first start on.
 *
 * @param runs the runs, by start
 * @param nowMs the end of the time looked at
 * @returns the longest gap in milliseconds; endless if there is no run
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

async function meetsOwner (stage: Stage, { name, target, negated }: Condition): Promise<Verdict> {
  const owner = await findOwner(stage, name)
  const node = await resolveOne(stage, target!)
  if (node.isErr()) return err(node.error)
  if ((owner === node.value) !== (negated ?? false) && owner !== '') return ok()
  return err(`The owner of "${name}" is "${owner}".`)
}

async function meetsReady (stage: Stage, { name, negated }: Condition): Promise<Verdict> {
  const names = name === '' ? stage.cell.runningNodes() : [stage.aliases.get(name) ?? name]
  for (const node of names) {
    const reply = await callJson(`${stage.cell.nodes.get(node)?.api}/readyz`)
    const ready = reply.isOk() && reply.value.status === 200
    if (ready === (negated ?? false)) return err(`The node "${node}" is ${ready ? '' : 'not '}ready.`)
  }
  return ok()
}

function meetsExited (stage: Stage, { name, negated }: Condition): Verdict {
  const node = stage.aliases.get(name) ?? name
  const exit = stage.cell.child(node)?.exit()
  if (negated) return exit === undefined ? ok() : err(`"${node}" has exited with ${exit}.`)
  return exit === 0 ? ok() : err(`"${node}" ${exit === undefined ? 'runs' : `has exited with ${exit}`}.`)
}

async function meetsRevision (stage: Stage): Promise<Verdict> {
  const revisions = new Map<string, number>()
  for (const name of stage.cell.runningNodes()) {
    if (stage.frozen.has(name)) continue
    revisions.set(name, await stage.operator.fetchRevision(stage.cell.nodes.get(name)!.api) ?? -1)
  }
  const distinct = new Set(revisions.values())
  if (distinct.size === 1 && !distinct.has(-1) && Math.max(...distinct) >= stage.operator.newest()) return ok()
  return err(`The newest revision is ${stage.operator.newest()} and the nodes have ${describeCounts(revisions)}.`)
}

async function meetsKey (stage: Stage, { name, target, negated }: Condition): Promise<Verdict> {
  const nodes = target === undefined ? ok(stage.cell.runningNodes()) : await resolveTarget(stage, target)
  if (nodes.isErr()) return err(nodes.error)
  const apis = nodes.value.map((node) => stage.cell.nodes.get(node)!.api)
  const upstream = stage.operator.manifest.upstreams[0]?.name ?? ''
  for (const api of apis) {
    const reply = await callJson(`${api}/v1/jobs/${upstream}.0`, { headers: { authorization: `Bearer ${name}.${secretOf(name)}` } })
    if (reply.isErr()) return err(`The node at ${api} did not answer: ${reply.error}`)
    const reason = ((reply.value.body as { type?: string } | undefined)?.type ?? '').replace(/^.*:/, '')
    const works = !KEY_REFUSALS.has(reason)
    if (works === (negated ?? false)) return err(`The key "${name}" ${works ? 'works' : `does not work (${reason})`} at ${api}.`)
  }
  return ok()
}

async function meetsLoad (stage: Stage, { name, states }: Condition): Promise<Verdict> {
  const load = stage.loads.get(name)
  if (load === undefined) return err(`There is no load "${name}".`)
  await load.stop()
  const wanted = states.flatMap((state) => state === 'clean' ? ['answered', 'accepted'] : [state])
  const seen = new Map<string, number>()
  for (const answer of load.answers) seen.set(answer.outcome, (seen.get(answer.outcome) ?? 0) + 1)
  const wrong = load.answers.filter((answer) => !matchesOutcome(answer, wanted)).length
  if (load.answers.length === 0) return err(`The load "${name}" sent nothing.`)
  return wrong === 0 ? ok() : err(`${wrong} of ${load.answers.length} answers of the load "${name}" were not ${states.join(' or ')}: ${describeCounts(seen)}.`)
}

async function meetsQuiet (stage: Stage, { name }: Condition): Promise<Verdict> {
  await stage.refresh()
  const workers = new Set(workersOf(stage, name))
  const running = stage.recorder.runs().filter((run) => workers.has(run.worker) && run.endedMs === undefined).length
  return running === 0 ? ok() : err(`${running} runs are left on the workers of "${name}".`)
}

async function meetsAdopted (stage: Stage, { name }: Condition): Promise<Verdict> {
  await stage.refresh()
  const workers = workersOf(stage, name)
  const newest = stage.recorder.epoch(workers)
  const others = workers.filter((worker) => compareEpochs(stage.recorder.epoch([worker]), newest) !== 0)
  if (newest.counter > 0 && others.length === 0) return ok()
  return err(`The epoch of "${name}" is ${newest.counter}:${newest.node}, and ${others.join(', ')} do not hold it.`)
}

async function meetsStream (stage: Stage, { name, count = 0 }: Condition): Promise<Verdict> {
  const page = await stage.cell.askPlatform('GET', `log/streams/${name}?from=${count - 1}`)
  if (page.isErr()) return err(page.error)
  const { records } = page.value as RecordsPage
  return records.length > 0 ? ok() : err(`The stream "${name}" has less than ${count} records.`)
}

async function meetsInvariants (stage: Stage): Promise<Verdict> {
  const violations = findViolations(await stage.collect())
  if (stage.recorder.incomplete) return err('A worker did not keep its whole record, so nothing is proved.')
  if (violations.length === 0) return ok()
  return err(violations.map((violation) => `${violation.invariant}: ${violation.detail}`).join('; '))
}

function compare (found: number, wanted: number, comparison: Comparison | undefined, what: string, seen: string): Verdict {
  if (comparison === Comparison.AtMost && found <= wanted) return ok()
  if (comparison === Comparison.AtLeast && found >= wanted) return ok()
  if ((comparison === undefined || comparison === Comparison.Exactly) && found === wanted) return ok()
  return err(`Expected ${comparison ?? Comparison.Exactly} ${wanted} ${what}, but there are ${found}${seen === '' ? '' : ` (${seen})`}.`)
}

function describeCounts (counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([name, count]) => `${name} ${count}`).join(', ')
}
