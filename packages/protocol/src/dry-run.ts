/**
 * The report of a dry run: where new work would go now, and why. No work is accepted, placed or written for it.
 */
import type { Refusal } from './refusal.js'
import type { Resources } from './resources.js'

/** Whether a worker could take a task of the work now, and if not, what prevents it. */
export enum WorkerVerdict {
  /** A task could start on it now. */
  Available = 'available',
  /** It has too little free capacity at the moment. */
  Busy = 'busy',
  /** It is too small even when it is idle. */
  TooSmall = 'too-small',
  /** It lacks the label that the work requires. */
  Label = 'label',
  /** It is leaving, or an operator has drained it. */
  Draining = 'draining',
  /** Its availability zone is being evacuated. */
  Evacuated = 'evacuated',
  /** The owner has not reached it lately, or has not taken it over yet. */
  Unreachable = 'unreachable',
  /** It is quarantined, because tasks failed on it that succeed elsewhere. */
  Quarantined = 'quarantined',
  /** It is reserved for other work that waits. */
  Reserved = 'reserved',
  /** The advisor has to permit it for each step of a job, and is asked only once the work waits. */
  AdviceUnknown = 'advice-unknown',
  /** The advisor does not permit it. */
  NotPermitted = 'not-permitted'
}

/** What determines the place of work in the order of waiting work. */
export enum OrderFactor {
  /** Urgency or priority of the queue. */
  Priority = 'priority',
  /** Use of the team's share, where 1 is exactly at the share. */
  Share = 'share',
  /** Whether the workspace submits beyond its rate. */
  Rate = 'rate',
  /** Milliseconds until the work has to start to meet its objective; negative if it is late. */
  Slack = 'slack',
  /** Milliseconds that past use of the workspace moves the work back in the order. */
  PastUse = 'past-use'
}

/** One reason for the place of the work in the order. */
export interface OrderReason {
  readonly factor: OrderFactor
  readonly value: number | string
  /** One sentence for operators. */
  readonly detail: string
}

/** The place of the work in the order of waiting work. */
export interface OrderReport {
  /** Number of waiting tasks or steps that are considered before the work. */
  readonly before: number
  /** What `before` counts. */
  readonly detail: string
  readonly reasons: readonly OrderReason[]
}

/** Workers of the same zone and capacity with the same verdict. */
export interface WorkerGroup {
  readonly verdict: WorkerVerdict
  readonly zone: string
  readonly capacity: Resources
  /** Number of workers. */
  readonly workers: number
  /** Number of tasks of the work that could start on them now. */
  readonly startable: number
  /** Names of some of the workers. */
  readonly examples: readonly string[]
}

/** The report of a dry run, or on a job that waits. */
export interface DryRunReport {
  /** Id of the job that waits; absent for work that is not submitted. */
  readonly job?: string
  readonly queue: string
  readonly upstream: string
  /** Team or workspace on whose behalf the work would run; empty if there is none. */
  readonly team: string
  /** Node that decides about the work. */
  readonly owner: string
  readonly accepted: boolean
  /** Why the work would be refused, and when to return. */
  readonly refusal?: Refusal
  /** What would keep it from starting at once; "none" if nothing does. */
  readonly obstacle: string
  readonly detail: string
  /** What would let it start; empty if nothing prevents it. */
  readonly remedy: string
  readonly order: OrderReport
  /** Estimated time until the first tasks start; absent if it is unknown. */
  readonly startsInMs?: number
  readonly workers: readonly WorkerGroup[]
}

/** A worker and what a dry run found out about it. */
export interface WorkerOutlook {
  readonly id: string
  readonly zone: string
  readonly capacity: Resources
  readonly verdict: WorkerVerdict
  /** Number of tasks of the work that could start on it now. */
  readonly startable: number
}

const MAX_EXAMPLES = 3

/**
 * Groups workers that a report does not tell apart.
 *
 * @param outlooks the workers
 * @returns the groups, available ones first, then by the number of workers
 */
export function groupWorkers (outlooks: Iterable<WorkerOutlook>): WorkerGroup[] {
  const groups = new Map<string, WorkerGroup>()
  for (const { id, zone, capacity, verdict, startable } of outlooks) {
    const key = JSON.stringify([verdict, zone, capacity.cpuMilli, capacity.memoryMb, capacity.accelerators])
    const group = groups.get(key) ?? { verdict, zone, capacity, workers: 0, startable: 0, examples: [] }
    groups.set(key, {
      ...group,
      workers: group.workers + 1,
      startable: group.startable + startable,
      examples: group.examples.length < MAX_EXAMPLES ? [...group.examples, id] : group.examples
    })
  }
  return [...groups.values()].sort(compareGroups)
}

function compareGroups (left: WorkerGroup, right: WorkerGroup): number {
  const available = Number(right.verdict === WorkerVerdict.Available) - Number(left.verdict === WorkerVerdict.Available)
  return available !== 0 ? available : right.workers - left.workers
}
