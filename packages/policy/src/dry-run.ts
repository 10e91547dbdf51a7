/**
 * Dry run: where new tasks would go now, and why. Changes no state.
 */
import type { Refusal } from '@fireflymount/protocol/refusal'
import type { WorkerOutlook } from '@fireflymount/protocol/dry-run'
import type { Admission } from './admission.js'
import type { Lanes, PlaceInOrder } from './lanes.js'
import type { LimitCheck } from './limit-check.js'
import type { Reservation } from './reservation.js'
import type { ShardState } from './shard-state.js'
import type { Explanation, Task, WorkerSpec } from './task.js'
import { WorkerVerdict } from '@fireflymount/protocol/dry-run'
import { Workload } from '@fireflymount/protocol/workload'
import { describeResources } from './admission.js'
import { createExplanation, explainLimit } from './explanation.js'
import { Block } from './lane.js'
import { tasksThatFitResource } from './reservation.js'
import { Condition, Obstacle } from './task.js'

/** Returns why a closed worker takes no new tasks, which its shard's owner knows. */
export type ClosedVerdict = (worker: string) => WorkerVerdict

/** What a dry run found out. */
export interface DryRun {
  /** Why the tasks would be refused, and when to return. */
  readonly refusal: Refusal | undefined
  /** What would keep the tasks from starting at once. Obstacle.None does not rule out a refusal. */
  readonly explanation: Explanation
  readonly place: PlaceInOrder
  /** Estimated time until the first task starts; undefined if it is unknown. */
  readonly startsInMs: number | undefined
  readonly workers: readonly WorkerOutlook[]
}

/** Performs dry runs on the state of a shard. Preemption and workers that the autoscaler may add are not considered. */
export class DryRunPlanner {
  constructor (
    private readonly state: ShardState,
    private readonly admission: Admission,
    private readonly limitCheck: LimitCheck,
    private readonly lanes: Lanes,
    private readonly reservation: Reservation
  ) {}

  /**
   * Performs a dry run.
   *
   * @param task the task, or one task of a gang, which has `groupSize` tasks
   * @param nowMs the current time
   * @param closedVerdict why a closed worker takes no new tasks
   * @returns what would happen to the task or gang if it were submitted now
   */
  run (task: Task, nowMs: number, closedVerdict: ClosedVerdict): DryRun {
    const checked = this.admission.check(task, nowMs)
    const workers: WorkerOutlook[] = []
    for (const [index, spec] of this.state.fleet.specs.entries()) {
      if (spec !== undefined) workers.push(this.outlookOf(index, spec, task, nowMs, closedVerdict))
    }
    const explanation = this.explain(task, nowMs, workers)
    return {
      refusal: checked.isErr() ? checked.error : undefined,
      explanation,
      place: this.lanes.placeOf(task, nowMs),
      startsInMs: this.startsInMs(task, explanation.obstacle),
      workers
    }
  }

  private outlookOf (
    index: number, spec: WorkerSpec, task: Task, nowMs: number, closedVerdict: ClosedVerdict
  ): WorkerOutlook {
    const { fleet } = this.state
    const { id, zone, capacity, slots } = spec
    const fitting = Math.min(
      fleet.freeSlots[index]!,
      tasksThatFitResource(fleet.freeCpu[index]!, task.size.cpuMilli),
      tasksThatFitResource(fleet.freeMemory[index]!, task.size.memoryMb),
      tasksThatFitResource(fleet.freeAccelerators[index]!, task.size.accelerators)
    )
    const verdict = this.verdictOf(index, task, nowMs, closedVerdict, fitting, fitsIdle(task, capacity, slots))
    return { id, zone, capacity, verdict, startable: verdict === WorkerVerdict.Available ? fitting : 0 }
  }

  private verdictOf (
    index: number, task: Task, nowMs: number, closedVerdict: ClosedVerdict, fitting: number, fitsIdleWorker: boolean
  ): WorkerVerdict {
    const { fleet } = this.state
    if (fleet.conditions[index] === Condition.Closed) return closedVerdict(fleet.specs[index]!.id)
    if (fleet.conditions[index] === Condition.Quarantined) return WorkerVerdict.Quarantined
    if (!fitsIdleWorker) return WorkerVerdict.TooSmall
    if (fitting < 1) return WorkerVerdict.Busy
    if (fleet.reserved[index] === 0 || this.mayBackfill(index, task, nowMs)) return WorkerVerdict.Available
    return WorkerVerdict.Reserved
  }

  private mayBackfill (index: number, task: Task, nowMs: number): boolean {
    if (task.workload !== Workload.Batch) return false
    return this.reservation.allowsBackfill(index, nowMs + this.state.peekKind(task.kind).p90RuntimeMs(task.runtimeMs))
  }

  private explain (task: Task, nowMs: number, workers: readonly WorkerOutlook[]): Explanation {
    const size = this.admission.sizeObstacle(task)
    if (size !== undefined) return createExplanation(Obstacle.Shape, size, 'Request less, or add larger workers.')
    if (this.state.fleet.readyWorkers === 0) {
      return createExplanation(
        Obstacle.Workers, 'No worker of the shard is ready.', 'Undo the drain of a worker, or repair a quarantined worker.'
      )
    }
    const count = task.groupSize ?? 1
    const team = this.state.peekTeam(task.team)
    const block = this.limitCheck.checkNew(team, task, count, nowMs)
    if (block === Block.Allotment) return explainLimit(team, task)
    if (block === Block.Headroom) {
      return createExplanation(
        Obstacle.Capacity,
        'The free capacity is kept as headroom for requests, sized by the recent peak of concurrent requests.',
        'Wait, add workers, or lower the weights "waiting" and "share" of the upstream.'
      )
    }
    let startable = 0
    for (const worker of workers) startable += worker.startable
    if (startable >= count) return createExplanation(Obstacle.None, 'Enough capacity is free.', '')
    return explainCapacity(task, count, startable)
  }

  private startsInMs (task: Task, obstacle: Obstacle): number | undefined {
    if (obstacle === Obstacle.None) return 0
    if (obstacle !== Obstacle.Capacity) return undefined
    // The estimate goes by the sum of the free capacity, which is 0 if enough is free but not on one worker.
    const waitMs = Math.ceil(this.admission.estimateWaitMs(task, this.state.peekKind(task.kind)))
    return waitMs === 0 ? undefined : waitMs
  }
}

function fitsIdle ({ size }: Task, capacity: WorkerSpec['capacity'], slots: number): boolean {
  if (slots < 1 || size.accelerators > capacity.accelerators) return false
  return size.cpuMilli <= capacity.cpuMilli && size.memoryMb <= capacity.memoryMb
}

function explainCapacity (task: Task, count: number, startable: number): Explanation {
  const size = describeResources(task.size)
  if (count > 1) {
    return createExplanation(
      Obstacle.Gang,
      `Only ${startable} of the gang's ${count} tasks with ${size} each could start now, and they have to start together.`,
      'Wait for a reservation of workers, request fewer tasks, or add workers.'
    )
  }
  return createExplanation(Obstacle.Capacity, `No worker that takes new tasks has ${size} free.`, 'Wait, add workers, or request less.')
}
