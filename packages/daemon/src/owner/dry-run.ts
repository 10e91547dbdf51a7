/**
 * Dry run of new work at the owner of its shard: whether it would be accepted, when it would start, and on which workers.
 */
import { findQueue } from '@fireflymount/manifest/lookup'
import type { Queue } from '@fireflymount/manifest/manifest'
import type { DryRun as Plan } from '@fireflymount/policy/dry-run'
import { Obstacle, type Task } from '@fireflymount/policy/task'
import {
  OrderFactor, WorkerVerdict, groupWorkers, type DryRunReport, type OrderReason, type OrderReport
} from '@fireflymount/protocol/dry-run'
import type { DryRun } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { JournalFailure } from '@fireflymount/service-clients/journal'
import { err, ok, type Result } from 'neverthrow'
import { refusalOf } from './jobs.js'
import type { Owner } from './owner.js'

const UNKNOWN_QUEUE_RETRY_AFTER_MS = 500
/** Identifies the task of a dry run, which no table contains. */
const DRY_RUN_TASK = 'dry-run'

/**
 * Reports where work would go if it were submitted now. Changes nothing and writes nothing.
 *
 * @param owner the owner of the shard
 * @param work the work
 * @returns the report, or a refusal if this owner does not know the queue
 *
 * @example
 * return dryRunWork(owner, { kind: MessageKind.DryRun, queue: 'yardage', team: 'guild', tasks: 1 })
 */
export function dryRunWork (owner: Owner, work: DryRun): Result<DryRunReport, Refusal> {
  const { options, scheduler } = owner
  const queue = findQueue(options.manifest(), work.queue)
  if (queue === undefined) return err(refuse(Reason.NoSuchQueue, `There is no queue ${work.queue}.`, UNKNOWN_QUEUE_RETRY_AFTER_MS))
  const nowMs = options.clock.now()
  const task = createTask(work, queue, nowMs)
  const plan = scheduler.dryRun(task, nowMs, (worker) => verdictOfClosed(owner, worker))
  const refusal = refusalFor(owner, work, queue, plan)
  return ok({
    queue: queue.name,
    upstream: queue.upstream,
    team: work.team,
    owner: options.node,
    accepted: refusal === undefined,
    ...(refusal === undefined ? {} : { refusal }),
    ...plan.explanation,
    order: describeOrder(queue, plan),
    ...(plan.startsInMs === undefined ? {} : { startsInMs: plan.startsInMs }),
    workers: groupWorkers(plan.workers)
  })
}

function createTask (work: DryRun, queue: Queue, nowMs: number): Task {
  return {
    id: DRY_RUN_TASK,
    team: work.team,
    kind: queue.name,
    workload: queue.workload,
    urgency: queue.urgency,
    size: work.size ?? queue.size,
    runtimeMs: work.runtimeMs ?? queue.runtimeMs,
    submittedMs: nowMs,
    checkpoint: queue.checkpoint,
    ...(queue.workload === Workload.Request ? { startByMs: nowMs + (work.deadlineMs ?? queue.deadlineMs) } : {}),
    ...(queue.workload === Workload.Gang ? { group: DRY_RUN_TASK, groupSize: work.tasks } : {})
  }
}

/** Returns why the work would be refused. A job that the scheduler refuses is accepted and waits, so its refusal does not count. */
function refusalFor ({ options, jobs }: Owner, work: DryRun, queue: Queue, plan: Plan): Refusal | undefined {
  if (queue.workload === Workload.Request) return plan.refusal
  const refusal = jobs.check(work, queue)
  if (refusal !== undefined || options.journal.available()) return refusal
  return refusalOf({ failure: JournalFailure.Unavailable, detail: '' }, 'The job')
}

function verdictOfClosed ({ fleet }: Owner, worker: string): WorkerVerdict {
  if (fleet.isEvacuated(worker)) return WorkerVerdict.Evacuated
  return fleet.isLeavingOrDrained(worker) ? WorkerVerdict.Draining : WorkerVerdict.Unreachable
}

function describeOrder (queue: Queue, { place, explanation }: Plan): OrderReport {
  const { tasksBefore, teamsBefore, shareRatio } = place
  const others = teamsBefore.length === 0 ? '' : `, and work of ${teamsBefore.length} other team(s), such as "${teamsBefore[0]}"`
  const passes = explanation.obstacle === Obstacle.None ? ' They wait for something that this work does not need, so it passes them.' : ''
  const reasons: OrderReason[] = [
    {
      factor: OrderFactor.Priority,
      value: queue.urgency,
      detail: queue.urgency === Urgency.Urgent ? 'Urgent work of a team comes before its other work.' : 'Urgent work of the team comes first.'
    },
    {
      factor: OrderFactor.Share,
      value: Math.round(shareRatio * 1000) / 1000,
      detail: 'Use of the team\'s share; 1 is exactly at the share. Teams with less come first, and waiting work moves up.'
    }
  ]
  return {
    before: tasksBefore + teamsBefore.length,
    detail: `${tasksBefore} waiting task(s) or gang(s) of the same team${others}.${tasksBefore + teamsBefore.length > 0 ? passes : ''}`,
    reasons
  }
}
