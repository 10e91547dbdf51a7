/**
 * The invariants of the system, checked on the workers' own record. Pure functions.
 */
import { fitsResources } from '@fireflymount/protocol/resources'
import { Execution, Reason } from '@fireflymount/protocol/refusal'
import type { Evidence, LimitChange, Run } from './evidence.js'
import { groupBy, sweepRuns, type Level } from './usage.js'

/** The names of the invariants, as scenarios and the table of invariants use them. */
export enum Invariant {
  Capacity = 'capacity',
  OnePlace = 'one-place',
  AtMostOnce = 'at-most-once',
  TeamLimit = 'team-limit',
  NotRun = 'not-run',
  OwnAnswer = 'own-answer',
  Leaving = 'leaving',
  Keys = 'keys',
  Configuration = 'configuration',
  GracefulStop = 'graceful-stop'
}

/** An invariant that did not hold. */
export interface Violation {
  readonly invariant: Invariant
  readonly detail: string
}

/** Time after which a leaving worker gets nothing new, and a withdrawn key is refused everywhere. */
export const WITHDRAWAL_MS = 5_000

/** Time after which an accepted configuration is in force everywhere. */
export const REVISION_MS = 8_000

/**
 * Checks every invariant.
 *
 * @param evidence what is known after a scenario
 * @returns every violation found
 *
 * @example
 * expect(findViolations(evidence)).toEqual([])
 */
export function findViolations (evidence: Evidence): Violation[] {
  return [
    ...findOverfullWorkers(evidence),
    ...findDoublePlaces(evidence),
    ...findRepeatedRuns(evidence),
    ...findExceededLimits(evidence),
    ...findFalseRefusals(evidence),
    ...findForeignAnswers(evidence),
    ...findLateStarts(evidence),
    ...findLateAcceptances(evidence),
    ...findReversions(evidence)
  ]
}

/** Workers that ran more than their slots or resources. */
export function findOverfullWorkers (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const runs = groupBy(evidence.runs, (run) => run.worker)
  for (const capacity of evidence.capacities) {
    for (const level of sweepRuns(runs.get(capacity.worker) ?? [])) {
      if (level.count <= capacity.slots && fitsResources(level.used, capacity.resources)) continue
      const detail = `${capacity.worker} ran ${level.count} of ${capacity.slots} slots with ${describeLevel(level)}`
      violations.push({ invariant: Invariant.Capacity, detail })
      break
    }
  }
  return violations
}

/** Tasks that ran in two places at a time. */
export function findDoublePlaces (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  for (const [task, runs] of groupBy(evidence.runs.filter((run) => !run.request), (run) => run.task)) {
    const overlap = sweepRuns(runs).find((level) => level.count > 1)
    if (overlap === undefined) continue
    const places = runs.map((run) => `${run.worker}@${run.startedMs}-${run.endedMs ?? ''}`).join(', ')
    violations.push({ invariant: Invariant.OnePlace, detail: `${task} ran in two places: ${places}` })
  }
  return violations
}

/** Non-idempotent work that ran more than once. */
export function findRepeatedRuns (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const kinds = new Set(evidence.nonIdempotent)
  const candidates = evidence.runs.filter((run) => kinds.has(run.kind))
  for (const [unit, runs] of groupBy(candidates, nameUnit)) {
    if (runs.length < 2) continue
    const places = runs.map((run) => `${run.worker}/${run.task}/${run.attempt}`).join(', ')
    violations.push({ invariant: Invariant.AtMostOnce, detail: `${unit} ran ${runs.length} times: ${places}` })
  }
  return violations
}

/** Teams that had more running than the largest limit that may have been in force. */
export function findExceededLimits (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const changes = groupBy(evidence.limits, (change) => change.team)
  for (const [team, runs] of groupBy(evidence.runs, (run) => run.team)) {
    const teamChanges = changes.get(team)
    if (teamChanges === undefined) continue
    const exceeded = sweepRuns(runs).find((level) => exceedsLimits(level, teamChanges))
    if (exceeded === undefined) continue
    const detail = `${team} had ${exceeded.count} running with ${describeLevel(exceeded)} at ${exceeded.run.startedMs}`
    violations.push({ invariant: Invariant.TeamLimit, detail })
  }
  return violations
}

/** Refusals that said "not run" of work that ran. */
export function findFalseRefusals (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const starts = groupBy(evidence.runs, (run) => run.nonce ?? '')
  const accepted = new Set<string>()
  for (const answer of evidence.answers) {
    if (answer.outcome === 'accepted' || answer.outcome === 'answered') accepted.add(answer.nonce)
  }
  for (const answer of evidence.answers) {
    if (answer.execution !== Execution.NotRun || !starts.has(answer.nonce) || accepted.has(answer.nonce)) continue
    const detail = `${answer.name} was refused as not run (${answer.outcome}) and ran`
    violations.push({ invariant: Invariant.NotRun, detail })
  }
  return violations
}

/** Answers that are not whole, or that belong to another request. */
export function findForeignAnswers (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  for (const answer of evidence.answers) {
    if (!answer.whole) violations.push({ invariant: Invariant.OwnAnswer, detail: `${answer.name} got half an answer` })
    if (!answer.hasResult || answer.echoed === answer.nonce) continue
    const detail = `${answer.name} sent ${answer.nonce} and got ${answer.echoed ?? 'nothing'}`
    violations.push({ invariant: Invariant.OwnAnswer, detail })
  }
  return violations
}

/** Work that started on a worker long after it was said to leave. */
export function findLateStarts (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const runs = groupBy(evidence.runs, (run) => run.worker)
  for (const departure of evidence.leaving) {
    const late = (runs.get(departure.name) ?? []).find((run) => run.startedMs > departure.atMs + WITHDRAWAL_MS)
    if (late === undefined) continue
    const detail = `${late.task} started on ${departure.name} ${Math.round(late.startedMs - departure.atMs)} ms after it was leaving`
    violations.push({ invariant: Invariant.Leaving, detail })
  }
  return violations
}

/** Work that was accepted with a key long after it was withdrawn. */
export function findLateAcceptances (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const answers = groupBy(evidence.answers, (answer) => answer.key ?? '')
  for (const departure of evidence.withdrawn) {
    for (const answer of answers.get(departure.name) ?? []) {
      if (answer.sentMs <= departure.atMs + WITHDRAWAL_MS || answer.outcome === Reason.BadKey) continue
      if (answer.outcome !== 'accepted' && answer.outcome !== 'answered') continue
      const detail = `${answer.name} was ${answer.outcome} with "${departure.name}" ${Math.round(answer.sentMs - departure.atMs)} ms after`
      violations.push({ invariant: Invariant.Keys, detail })
    }
  }
  return violations
}

/** Nodes that had an older revision in effect after a newer one. */
export function findReversions (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  for (const history of evidence.histories) {
    for (const [index, revision] of history.revisions.entries()) {
      const before = history.revisions[index - 1] ?? -1
      if (revision >= before) continue
      const detail = `${history.node} went from revision ${before} back to ${revision}`
      violations.push({ invariant: Invariant.Configuration, detail })
    }
  }
  return violations
}

function nameUnit (run: Run): string {
  if (run.nonce === undefined) return run.task
  const member = run.task.lastIndexOf('/')
  return member < 0 || run.request ? run.nonce : `${run.nonce}${run.task.slice(member)}`
}

function exceedsLimits (level: Level, changes: readonly LimitChange[]): boolean {
  for (const [index, change] of changes.entries()) {
    const replacedMs = changes[index + 1]?.acceptedMs ?? Infinity
    if (level.run.startedMs > replacedMs + REVISION_MS) continue
    if (change.sentMs > level.run.startedMs) continue
    if (!exceedsLimit(level, change)) return false
  }
  return true
}

function exceedsLimit (level: Level, { limit }: LimitChange): boolean {
  if (level.count > (limit.tasks ?? Infinity)) return true
  return !fitsResources(level.used, {
    cpuMilli: limit.cpuMilli ?? Infinity,
    memoryMb: limit.memoryMb ?? Infinity,
    accelerators: limit.accelerators ?? Infinity
  })
}

function describeLevel (level: Level): string {
  return `${level.used.cpuMilli} mCPU, ${level.used.memoryMb} MB, ${level.used.accelerators} accelerators`
}
