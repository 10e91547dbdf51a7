/**
 * Collects what a report on a job needs from the owner's state, without changing it: on a job that is not submitted, or on one that
 * waits.
 */
import type { DryRunReport, WorkerOutlook } from '@fireflymount/protocol/dry-run'
import type { DryRun } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { addResources, NO_RESOURCES, type Resources } from '@fireflymount/protocol/resources'
import { err, ok, type Result } from 'neverthrow'
import type { Clock } from '../clock.js'
import { JobObstacle, planDryRun, type Place } from '../dry-run/plan.js'
import { Permission, isOpen, outlookOf } from '../dry-run/verdict.js'
import { JobEntry } from '../journal/journal-state.js'
import type { Configuration, Queue, WorkspaceSettings } from '../model/configuration.js'
import { findJobError, type Job, type Step } from '../model/job.js'
import { findRetryAfterMs } from '../place/admission.js'
import { headroomOf } from '../place/limit.js'
import type { PastUse } from '../place/past-use.js'
import type { ZoneStatus } from '../zones/evacuations.js'
import type { AdvisorClient } from './advisor-client.js'
import { PoolCandidate } from './candidates.js'
import { mayUseReserve, type Dispatcher } from './dispatcher.js'
import { JobSettings } from './job-settings.js'
import { Ledger } from './ledger.js'
import { ReadySteps, type ReadyStep } from './ready-step.js'
import type { Session } from './session.js'
import { rankReadySteps, type RankedStep } from './step-ranking.js'

/** Id of the job of a dry run, which no caller can choose. */
const DRY_RUN_JOB = 'dry-run'
/** A waiting job of the workspace that was accepted within this time shows whether the workspace is beyond its rate. */
const RECENT_MS = 1000

/** The parts of the owner that a report needs. */
export interface DryRunOptions {
  readonly node: string
  readonly configuration: () => Configuration
  readonly clock: Clock
  readonly ledger: Ledger
  readonly readySteps: ReadySteps
  readonly sessions: ReadonlyMap<string, Session>
  readonly dispatcher: Pick<Dispatcher, 'reservationOf' | 'unplacedStepsOf' | 'hasCapacityFor'>
  readonly overRateJobs: ReadonlySet<string>
  readonly pastUse: PastUse | undefined
  readonly zones: ZoneStatus
  readonly advisorClient: Pick<AdvisorClient, 'hasTicket' | 'wasAsked'>
  /** Time on the steady clock before which a task may not start, by task name. */
  readonly notBeforeMs: ReadonlyMap<string, number>
}

/** A job that no report is made on. */
export interface JobSummary {
  readonly job: string
  readonly obstacle: JobObstacle.None
  readonly detail: string
  readonly remedy: string
}

/** What a report is made on. */
interface Subject {
  readonly job: string | undefined
  readonly queue: Queue
  readonly own: RankedStep
  /** All ready steps in their order, including `own`. */
  readonly ranked: readonly RankedStep[]
  readonly workspace: WorkspaceSettings | undefined
  readonly refusal: Refusal | undefined
}

/** The workers of an upstream, as far as a step is concerned. */
interface Workers {
  readonly outlooks: WorkerOutlook[]
  totalFree: Resources
  untilFreeMs: number
}

/**
 * Reports where a job of one step would go now. The memory for waiting jobs is not checked, nor when a workspace beyond its rate is
 * refused: both answers would count the job.
 */
export function dryRunJob (options: DryRunOptions, request: DryRun): Result<DryRunReport, Refusal> {
  const configuration = options.configuration()
  const queue = configuration.queues.find(({ name }) => name === request.queue)
  if (queue === undefined) return err(refuse(Reason.NoSuchQueue, `There is no queue "${request.queue}".`))
  const job = createJob(request, queue, options.clock.wall())
  const mistake = findJobError(job)
  if (mistake !== undefined) return err(refuse(Reason.BadRequest, mistake))
  const readyStep = createReadyStep(job)
  const waiting = rankReadySteps({ ...options, jobSettings: new JobSettings(options.configuration) })
  const overRate = isBeyondRate(waiting, job)
  const ranked = rankAmong(options, readyStep, overRate)
  const workspace = configuration.workspaces.find(({ name }) => name === job.workspace)
  const own = ranked.find((each) => each.readyStep === readyStep)!
  const refusal = refusalOf(options, job, queue, workspace, overRate)
  return ok(reportOn(options, { job: undefined, queue, own, ranked, workspace, refusal }))
}

/**
 * Reports why a job waits: on the first of its steps in the order.
 *
 * @param entry the job
 */
export function explainJob (options: DryRunOptions, entry: JobEntry): DryRunReport | JobSummary {
  const { job } = entry
  const jobSettings = new JobSettings(options.configuration)
  const ranked = rankReadySteps({ ...options, jobSettings })
  const own = ranked.find(({ readyStep }) => readyStep.entry === entry)
  if (own === undefined) return { job: job.id, obstacle: JobObstacle.None, detail: describeNotWaiting(options, entry), remedy: '' }
  const { queue } = own
  if (queue === undefined) return { job: job.id, obstacle: JobObstacle.None, detail: 'The queue of the job was removed.', remedy: '' }
  const workspace = jobSettings.workspaceOf(job)
  return reportOn(options, { job: job.id, queue, own, ranked, workspace, refusal: undefined })
}

function describeNotWaiting ({ readySteps, ledger, clock }: DryRunOptions, entry: JobEntry): string {
  if (entry.isFinishedOrCancelled()) return `The job has ended: ${entry.phase}.`
  const runs = [...ledger.runsOf(entry)].length
  if (runs > 0) return `No task of the job waits; ${runs} run(s) have not ended.`
  for (const readyStep of readySteps.list()) {
    if (readyStep.entry === entry) return `The next occurrence is due in ${Math.round(readyStep.dueMs - clock.wall())} ms.`
  }
  return 'No task of the job waits.'
}

function reportOn (options: DryRunOptions, { job, queue, own, ranked, workspace, refusal }: Subject): DryRunReport {
  const { dispatcher, ledger, node, zones } = options
  const { entry, step, charge } = own.readyStep
  const workers = inspectWorkers(options, queue, own.readyStep)
  const reservation = dispatcher.reservationOf(queue.upstream)
  return planDryRun({
    job,
    owner: node,
    queue,
    workspace: entry.job.workspace,
    count: step.count,
    charge,
    gang: step.gang,
    paused: zones.maxStartValidityMs() === 0,
    delayMs: delayOf(options, own.readyStep),
    refusal,
    place: placeOf(options, ranked, own, workspace),
    workers: workers.outlooks,
    withinLimit: headroomOf(workspace?.upperLimit ?? NO_RESOURCES, ledger.usedBy(entry.job.workspace), step.size),
    reserve: mayUseReserve(own, reservation) ? undefined : reservation.reserve,
    totalFree: workers.totalFree,
    untilFreeMs: workers.untilFreeMs
  })
}

/** Returns the time before which none of the waiting tasks of a step may start; of a gang, not all of them. */
function delayOf ({ notBeforeMs, clock }: DryRunOptions, { entry, step, waiting }: ReadyStep): number {
  const nowMs = clock.now()
  const delays = waiting.map(({ key }) => Math.max(0, (notBeforeMs.get(`${entry.job.id}.${key}`) ?? 0) - nowMs))
  return step.gang ? Math.max(0, ...delays) : Math.min(...delays)
}

function permissionOf (advisorClient: DryRunOptions['advisorClient'], queue: Queue, step: string, worker: string): Permission {
  if (queue.advice === undefined) return Permission.NotNeeded
  if (advisorClient.hasTicket(step, worker)) return Permission.Granted
  return advisorClient.wasAsked(step, worker) ? Permission.Denied : Permission.Unknown
}

function createJob (
  { team, tasks, runtimeMs = 0, size = NO_RESOURCES, label = '', gang = false }: DryRun, queue: Queue, nowMs: number
): Job {
  const step: Step = {
    count: tasks,
    size,
    estimateMs: runtimeMs,
    after: [],
    checkpoints: false,
    gang,
    sameRack: false,
    label,
    rack: '',
    perWorker: 0,
    speculative: false,
    lasting: false,
    image: '',
    latencyTargetMs: 0,
    bestEffort: false,
    disruptionBudget: 0
  }
  return {
    id: DRY_RUN_JOB,
    queue: queue.name,
    upstream: queue.upstream,
    workspace: team,
    payload: '',
    steps: [step],
    occurrences: 0,
    firstDueMs: 0,
    intervalMs: 0,
    acceptedMs: nowMs
  }
}

/**
 * Creates the ready step of a job that is not known to the owner. One task stands for all, since none of them has a state: the owner
 * does not stop for a report on a job of the largest size.
 */
function createReadyStep (job: Job): ReadyStep {
  const step = job.steps[0]!
  const readySteps = new ReadySteps(new Ledger())
  readySteps.refresh(new JobEntry({ ...job, steps: [{ ...step, count: 1 }] }))
  return { ...[...readySteps.list()][0]!, step }
}

function rankAmong (options: DryRunOptions, readyStep: ReadyStep, overRate: boolean): RankedStep[] {
  const overRateJobs = overRate ? new Set([...options.overRateJobs, DRY_RUN_JOB]) : options.overRateJobs
  const jobSettings = new JobSettings(options.configuration)
  return rankReadySteps({ ...options, overRateJobs, jobSettings, additional: [readyStep] })
}

function isBeyondRate (waiting: readonly RankedStep[], { workspace, acceptedMs }: Job): boolean {
  let newest: RankedStep | undefined
  for (const ranked of waiting) {
    const { job } = ranked.readyStep.entry
    if (job.workspace !== workspace || acceptedMs - job.acceptedMs > RECENT_MS) continue
    if (newest === undefined || job.acceptedMs > newest.readyStep.entry.job.acceptedMs) newest = ranked
  }
  return newest?.overRate ?? false
}

function placeOf (
  { pastUse }: DryRunOptions, ranked: readonly RankedStep[], own: RankedStep, workspace: WorkspaceSettings | undefined
): Place {
  const { upstream, workspace: name } = own.readyStep.entry.job
  let before = 0
  let waiting = 0
  let isBefore = true
  for (const each of ranked) {
    if (each === own) isBefore = false
    else if ((each.queue?.upstream ?? each.readyStep.entry.job.upstream) === upstream) {
      waiting++
      if (isBefore) before++
    }
  }
  return {
    before,
    waiting,
    slackMs: own.slackMs,
    rate: workspace?.weight ?? 0,
    overRate: own.overRate,
    pastUse: pastUse === undefined ? undefined : { share: pastUse.shareOf(name), yieldMs: own.yieldMs }
  }
}

function inspectWorkers (
  { sessions, clock, advisorClient }: DryRunOptions, queue: Queue, { name, step, charge }: ReadyStep
): Workers {
  const nowMs = clock.now()
  const workers: Workers = { outlooks: [], totalFree: NO_RESOURCES, untilFreeMs: Infinity }
  for (const session of sessions.values()) {
    if (session.worker.upstream !== queue.upstream) continue
    const outlook = outlookOf({
      worker: session.worker,
      reachable: session.adopted && session.reachable,
      evacuated: session.isEvacuated(),
      paused: nowMs < session.pausedUntilMs,
      hasUnknownRuns: session.unknownRuns.size > 0,
      free: session.freeCapacity()
    }, step, charge, permissionOf(advisorClient, queue, name, session.id))
    workers.outlooks.push(outlook)
    if (session.acceptsRuns(nowMs)) workers.totalFree = addResources(workers.totalFree, session.freeCapacity())
    if (!isOpen(outlook)) continue
    const candidate = new PoolCandidate(session)
    candidate.startRound(1, nowMs)
    workers.untilFreeMs = Math.min(workers.untilFreeMs, candidate.timeToFitMs(charge))
  }
  return workers
}

function refusalOf (
  { dispatcher }: DryRunOptions, job: Job, queue: Queue, workspace: WorkspaceSettings | undefined, overRate: boolean
): Refusal | undefined {
  if (workspace === undefined && !(queue.open && job.workspace === '')) {
    return refuse(Reason.BadKey, `There is no workspace "${job.workspace}" in the configuration, and so no key for it.`)
  }
  const retryAfterMs = findRetryAfterMs(dispatcher.unplacedStepsOf(job.queue, overRate))
  if (retryAfterMs === undefined || dispatcher.hasCapacityFor(job)) return undefined
  return refuse(
    Reason.DeadlineUnreachable,
    'The jobs ahead in the queue take too long for this job to meet its objective. Retry later.',
    Math.ceil(retryAfterMs)
  )
}
