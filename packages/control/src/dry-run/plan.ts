/**
 * Dry run of a job: where it would go if it were submitted now, and why. Works on what the owner knows, and changes nothing.
 */
import {
  OrderFactor, WorkerVerdict, groupWorkers, type DryRunReport, type OrderReason, type OrderReport, type WorkerOutlook
} from '@fireflymount/protocol/dry-run'
import type { Refusal } from '@fireflymount/protocol/refusal'
import { fitsResources, scaleResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { Queue } from '../model/configuration.js'
import { isFit, isOpen } from './verdict.js'

/** What keeps a job from starting at once. */
export enum JobObstacle {
  None = 'none',
  /** No worker has the label, or is large enough. */
  Shape = 'shape',
  /** No suitable worker takes new tasks, or none is known. */
  Workers = 'workers',
  /** Nothing is placed, since the evacuations of zones were read too long ago. */
  Paused = 'paused',
  /** The upper limit of the workspace. */
  Limit = 'limit',
  /** The tasks may not start yet, because their runs failed. */
  Delayed = 'delayed',
  /** Capacity that is reserved for urgent tasks. */
  Reserve = 'reserve',
  /** Too little capacity is free. */
  Capacity = 'room',
  /** Capacity is free for some tasks of the gang, but not for all of them at once. */
  Gang = 'gang',
  /** The advisor has to permit workers first. */
  Advice = 'advice'
}

/** The place of a step of the job in the order, and what determines it. */
export interface Place {
  /** Number of waiting steps of the upstream that are placed first, and of all that wait. */
  readonly before: number
  readonly waiting: number
  readonly slackMs: number
  /** Rate of the workspace in jobs per second, 0 without one, and whether the job counts as beyond it. */
  readonly rate: number
  readonly overRate: boolean
  /** Undefined if past use does not count. */
  readonly pastUse: { readonly share: number, readonly yieldMs: number } | undefined
}

/** What a report is made from. */
export interface DryRunInput {
  /** Id of the job; undefined for one that is not submitted. */
  readonly job: string | undefined
  readonly owner: string
  readonly queue: Queue
  readonly workspace: string
  /** Number of tasks of the step, and what each is charged. */
  readonly count: number
  readonly charge: Resources
  readonly gang: boolean
  readonly refusal: Refusal | undefined
  /** Nothing is placed at the moment. */
  readonly paused: boolean
  /** Time before which no task of the step may start, because its runs failed; 0 if there is none. */
  readonly delayMs: number
  readonly place: Place
  readonly workers: readonly WorkerOutlook[]
  /** Number of tasks that the upper limit of the workspace permits in addition to those that run. */
  readonly withinLimit: number
  /** Capacity that the tasks must leave free; undefined if they may use it. */
  readonly reserve: Resources | undefined
  /** Free capacity of all workers that take new tasks. */
  readonly totalFree: Resources
  /** Estimated time until capacity for one task is free on a worker, if nothing else takes it; Infinity if unknown. */
  readonly untilFreeMs: number
}

interface Finding {
  readonly obstacle: JobObstacle
  readonly detail: string
  readonly remedy: string
}

/** Creates the report. */
export function planDryRun (input: DryRunInput): DryRunReport {
  const { job, owner, queue, workspace, refusal, place, workers } = input
  const finding = findObstacle(input)
  const startsInMs = startsInMsOf(input, finding.obstacle)
  return {
    ...(job === undefined ? {} : { job }),
    queue: queue.name,
    upstream: queue.upstream,
    team: workspace,
    owner,
    accepted: refusal === undefined,
    ...(refusal === undefined ? {} : { refusal }),
    ...finding,
    order: describeOrder(queue, place),
    ...(startsInMs === undefined ? {} : { startsInMs }),
    workers: groupWorkers(workers)
  }
}

function findObstacle (input: DryRunInput): Finding {
  const { workers, count, gang, withinLimit, queue, delayMs } = input
  const needed = gang ? count : 1
  if (workers.length === 0) return found(JobObstacle.Workers, 'The owner knows no worker of the upstream.', 'Add workers, or wait until the owner has read their registry.')
  const fit = workers.filter(isFit)
  if (fit.length === 0) {
    return found(JobObstacle.Shape, `No worker of the upstream suits the tasks, by label, size and the advisor's permission; ${workers.length} are known.`, 'Request less, or add suitable workers.')
  }
  if (!fit.some(isOpen)) {
    return found(JobObstacle.Workers, `None of the ${fit.length} suitable workers takes new tasks.`, 'The verdicts say why: take the zone back, end the drain, or repair the workers.')
  }
  if (input.paused) {
    return found(JobObstacle.Paused, 'Nothing is placed, since the evacuations of zones were read too long ago.', 'Wait until the store answers again.')
  }
  if (delayMs > 0) return found(JobObstacle.Delayed, 'Runs of the tasks have failed, and the next ones start after a delay.', '')
  if (withinLimit < needed) {
    return found(JobObstacle.Limit, `The upper limit of the workspace "${input.workspace}" permits ${withinLimit} more task(s), and ${needed} are needed to start.`, 'Wait until its tasks end, or raise the limit.')
  }
  const startable = countStartable(workers)
  if (startable < needed) return explainCapacity(startable, needed)
  if (!isOutsideReserve(input, needed)) {
    return found(JobObstacle.Reserve, 'The free capacity is reserved for urgent tasks, sized by their recent demand.', 'Wait, add workers, or raise the priority of the queue.')
  }
  const permitted = workers.filter(({ verdict }) => verdict === WorkerVerdict.Available)
  if (countStartable(permitted) >= needed) return found(JobObstacle.None, describeFreeCapacity(input.place), '')
  const { callMs = 0, workerMs = 0 } = queue.advice ?? {}
  return found(
    JobObstacle.Advice,
    `Capacity is free for ${startable} task(s), but the advisor has to permit the workers, and was not asked about all of them.`,
    `Asking takes ${callMs} ms and ${workerMs} ms for each worker.`
  )
}

function describeFreeCapacity ({ before }: Place): string {
  if (before === 0) return 'Enough capacity is free.'
  return `Enough capacity is free, unless a worker is held for one of the ${before} step(s) that come first.`
}

function countStartable (workers: readonly WorkerOutlook[]): number {
  return workers.reduce((sum, { startable }) => sum + startable, 0)
}

function explainCapacity (startable: number, needed: number): Finding {
  if (needed === 1) return found(JobObstacle.Capacity, 'No suitable worker has enough free capacity.', 'Wait, add workers, or request less.')
  return found(
    JobObstacle.Gang,
    `Only ${startable} of the ${needed} tasks of the gang could start now, and they have to start together.`,
    'Wait, add workers, or request fewer tasks.'
  )
}

function isOutsideReserve ({ reserve, totalFree, charge }: DryRunInput, needed: number): boolean {
  return reserve === undefined || fitsResources(scaleResources(charge, needed), subtractResources(totalFree, reserve))
}

/** The start is known only of a job that is first in the order: it is now, or when capacity is estimated to become free. */
function startsInMsOf ({ place, untilFreeMs, delayMs }: DryRunInput, obstacle: JobObstacle): number | undefined {
  if (obstacle === JobObstacle.Delayed) return Math.round(delayMs)
  if (obstacle === JobObstacle.None) return place.before === 0 ? 0 : undefined
  if (obstacle !== JobObstacle.Capacity || place.before > 0 || !Number.isFinite(untilFreeMs)) return undefined
  return Math.round(untilFreeMs)
}

function describeOrder (queue: Queue, { before, waiting, slackMs, rate, overRate, pastUse }: Place): OrderReport {
  const reasons: OrderReason[] = [
    { factor: OrderFactor.Priority, value: queue.priority, detail: 'Priority of the queue; 0 is the highest.' },
    { factor: OrderFactor.Rate, value: overRate ? 'beyond' : 'within', detail: describeRate(rate, overRate) },
    { factor: OrderFactor.Slack, value: Math.round(slackMs), detail: 'Time until the step has to start to meet the objective; the least comes first.' }
  ]
  if (pastUse !== undefined) reasons.push(describePastUse(pastUse.share, pastUse.yieldMs))
  return { before, detail: `Waiting steps of the upstream that come first, of ${waiting} that wait.`, reasons }
}

function describeRate (rate: number, overRate: boolean): string {
  if (rate === 0) return 'The workspace has no rate.'
  if (!overRate) return `The rate of the workspace is ${rate} jobs a second. Jobs beyond it come after all jobs within their rate.`
  return `The newest job of the workspace is beyond its rate of ${rate} jobs a second: it comes after all jobs within their rate.`
}

function describePastUse (share: number, yieldMs: number): OrderReason {
  const used = `The workspace has ${Math.round(share * 1000) / 10} % of the recorded use`
  return {
    factor: OrderFactor.PastUse,
    value: Math.round(yieldMs),
    detail: yieldMs > 0 ? `${used}: its steps yield by this time to workspaces that wait too.` : `${used}: its steps yield to none that waits.`
  }
}

function found (obstacle: JobObstacle, detail: string, remedy: string): Finding {
  return { obstacle, detail, remedy }
}
