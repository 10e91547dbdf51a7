/**
 * Checks the invariants of the system against the evidence; see Evidence. All functions are pure.
 */
import { fitsResources } from '@fireflymount/protocol/resources'
import { Execution, Reason } from '@fireflymount/protocol/refusal'
import type { Evidence, LimitChange, Run } from './evidence.js'
import { groupBy, sweepRuns, type UsageLevel } from './usage.js'

/** Names of the invariants, as scenarios and the documentation's table of invariants use them. */
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
  /** Checked by the conditions of the scenarios that prove it, not by findViolations. */
  GracefulStop = 'graceful-stop'
}

/** A violated invariant. */
export interface Violation {
  readonly invariant: Invariant
  readonly detail: string
}

/** Time within which every node stops sending work to a leaving worker and refuses a withdrawn key. */
export const MAX_ENFORCEMENT_DELAY_MS = 5_000

/** Time within which an accepted configuration is in force on every node. */
export const MAX_ROLLOUT_DELAY_MS = 8_000

/**
 * Checks every invariant except GracefulStop against the evidence.
 *
 * @param evidence the data to check
 * @returns every violation found
 *
 * @example
 * expect(findViolations(evidence)).toEqual([])
 */
export function findViolations (evidence: Evidence): Violation[] {
  return [
    ...findOvercommittedWorkers(evidence),
    ...findConcurrentRuns(evidence),
    ...findRepeatedRuns(evidence),
    ...findExceededLimits(evidence),
    ...findFalseRefusals(evidence),
    ...findMismatchedAnswers(evidence),
    ...findLateStarts(evidence),
    ...findLateAcceptances(evidence),
    ...findRevisionRollbacks(evidence)
  ]
}

/** Finds workers that ran more than their slots or resources allow. */
export function findOvercommittedWorkers (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const runs = groupBy(evidence.runs, (run) => run.worker)
  for (const capacity of evidence.capacities) {
    for (const level of sweepRuns(runs.get(capacity.worker) ?? [])) {
      if (level.count <= capacity.slots && fitsResources(level.used, capacity.resources)) continue
      const detail = `${capacity.worker} used ${level.count} slots of ${capacity.slots}, and ${describeLevel(level)}`
      violations.push({ invariant: Invariant.Capacity, detail })
      break
    }
  }
  return violations
}

/** Finds tasks that ran on two workers at the same time. */
export function findConcurrentRuns (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  for (const [task, runs] of groupBy(evidence.runs.filter((run) => !run.isRequest), (run) => run.task)) {
    const overlap = sweepRuns(runs).find((level) => level.count > 1)
    if (overlap === undefined) continue
    const executions = runs.map(describeRun).join(', ')
    violations.push({ invariant: Invariant.OnePlace, detail: `${task} ran in two places at the same time: ${executions}` })
  }
  return violations
}

/** Finds non-idempotent work that ran more than once. */
export function findRepeatedRuns (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const nonIdempotent = new Set(evidence.nonIdempotent)
  const candidates = evidence.runs.filter((run) => nonIdempotent.has(run.kind))
  for (const [unit, runs] of groupBy(candidates, workUnitOf)) {
    if (runs.length < 2) continue
    const executions = runs.map((run) => `${run.worker}/${run.task}/${run.attempt}`).join(', ')
    violations.push({ invariant: Invariant.AtMostOnce, detail: `${unit} ran ${runs.length} times: ${executions}` })
  }
  return violations
}

/** Finds teams that had more work running than the highest limit that may have been in force. */
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

/**
 * Finds refusals which say that work did not run although it ran. A refusal is skipped if another answer with the same nonce was
 * `accepted` or `answered`.
 */
export function findFalseRefusals (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const starts = groupBy(evidence.runs, (run) => run.nonce ?? '')
  const accepted = new Set<string>()
  for (const answer of evidence.answers) {
    if (answer.outcome === 'accepted' || answer.outcome === 'answered') accepted.add(answer.nonce)
  }
  for (const answer of evidence.answers) {
    if (answer.execution !== Execution.NotRun || !starts.has(answer.nonce) || accepted.has(answer.nonce)) continue
    const detail = `${answer.name} was refused as not run (${answer.outcome}), but it ran`
    violations.push({ invariant: Invariant.NotRun, detail })
  }
  return violations
}

/** Finds answers that are incomplete or belong to another request. */
export function findMismatchedAnswers (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  for (const answer of evidence.answers) {
    if (!answer.isComplete) violations.push({ invariant: Invariant.OwnAnswer, detail: `${answer.name} got an incomplete answer` })
    if (!answer.hasResult || answer.echoed === answer.nonce) continue
    const detail = `${answer.name} sent ${answer.nonce} and got ${answer.echoed ?? 'nothing'}`
    violations.push({ invariant: Invariant.OwnAnswer, detail })
  }
  return violations
}

/** Finds work that started on a leaving worker later than allowed. */
export function findLateStarts (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const runs = groupBy(evidence.runs, (run) => run.worker)
  for (const worker of evidence.leaving) {
    const late = (runs.get(worker.name) ?? []).find((run) => run.startedMs > worker.atMs + MAX_ENFORCEMENT_DELAY_MS)
    if (late === undefined) continue
    const detail = `${late.task} started on ${worker.name} ${Math.round(late.startedMs - worker.atMs)} ms after it started leaving`
    violations.push({ invariant: Invariant.Leaving, detail })
  }
  return violations
}

/** Finds work that was accepted with a withdrawn key later than allowed. */
export function findLateAcceptances (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  const answers = groupBy(evidence.answers, (answer) => answer.key ?? '')
  for (const key of evidence.withdrawn) {
    for (const answer of answers.get(key.name) ?? []) {
      if (answer.sentMs <= key.atMs + MAX_ENFORCEMENT_DELAY_MS || answer.outcome === Reason.BadKey) continue
      if (answer.outcome !== 'accepted' && answer.outcome !== 'answered') continue
      const detail = `${answer.name} was ${answer.outcome} with "${key.name}" ${Math.round(answer.sentMs - key.atMs)} ms after its withdrawal`
      violations.push({ invariant: Invariant.Keys, detail })
    }
  }
  return violations
}

/** Finds nodes on which an older configuration revision took effect after a newer one. */
export function findRevisionRollbacks (evidence: Evidence): Violation[] {
  const violations: Violation[] = []
  for (const history of evidence.histories) {
    for (const [index, revision] of history.revisions.entries()) {
      const before = history.revisions[index - 1] ?? -1
      if (revision >= before) continue
      const detail = `${history.process} went from revision ${before} back to ${revision}`
      violations.push({ invariant: Invariant.Configuration, detail })
    }
  }
  return violations
}

/** Name of the work that must run at most once: a request, or one task of a job. */
function workUnitOf (run: Run): string {
  if (run.nonce === undefined) return run.task
  const member = run.task.lastIndexOf('/')
  return member < 0 || run.isRequest ? run.nonce : `${run.nonce}${run.task.slice(member)}`
}

function exceedsLimits (level: UsageLevel, changes: readonly LimitChange[]): boolean {
  for (const [index, change] of changes.entries()) {
    const replacedMs = changes[index + 1]?.acceptedMs ?? Infinity
    if (level.run.startedMs > replacedMs + MAX_ROLLOUT_DELAY_MS) continue
    if (change.sentMs > level.run.startedMs) continue
    if (!exceedsLimit(level, change)) return false
  }
  return true
}

function exceedsLimit (level: UsageLevel, { limit }: LimitChange): boolean {
  if (level.count > (limit.tasks ?? Infinity)) return true
  return !fitsResources(level.used, {
    cpuMilli: limit.cpuMilli ?? Infinity,
    memoryMb: limit.memoryMb ?? Infinity,
    accelerators: limit.accelerators ?? Infinity
  })
}

function describeLevel (level: UsageLevel): string {
  return `${level.used.cpuMilli} mCPU, ${level.used.memoryMb} MB, ${level.used.accelerators} accelerators`
}

function describeRun ({ worker, attempt, startedMs, endedMs, ending }: Run): string {
  return `${worker}@${startedMs}-${endedMs ?? ''} (attempt ${attempt}, ${ending ?? 'in progress'})`
}
