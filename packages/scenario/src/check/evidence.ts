/**
 * The data on which the invariants are checked: the workers' runs and capacities, the answers to callers, the published limits,
 * the leaving workers, the withdrawn keys, the configuration revisions of the nodes, and the queues whose work must not run twice.
 * All times are milliseconds of the machine's monotonic clock.
 */
import type { UpperLimit } from '@fireflymount/manifest/manifest'
import type { Resources } from '@fireflymount/protocol/resources'
import type { Event } from '@fireflymount/standin/event-history'

/** One run on a worker, as the worker recorded it. */
export interface Run {
  readonly worker: string
  /** Id of the task, or of the request. */
  readonly task: string
  readonly attempt: number
  /** True for a synchronous request, false for a task. */
  readonly isRequest: boolean
  readonly team: string
  /** Name of the queue or service. */
  readonly kind: string
  readonly size: Resources
  /** Value that the caller put into the body; the same for all tasks of a job. */
  readonly nonce?: string
  readonly startedMs: number
  /** Absent while the run is in progress. */
  readonly endedMs?: number
  /** How the run ended; absent while it is in progress. */
  readonly ending?: Event
}

/** The answer that a caller got for a job or request that it sent. */
export interface Answer {
  readonly nonce: string
  /** Name of the work in the scenario. */
  readonly name: string
  readonly queue: string
  readonly sentMs: number
  readonly answeredMs: number
  /** `accepted`, `answered`, the reason for a refusal, or why there is no complete response. */
  readonly outcome: string
  /** With a refusal: what it says about whether the work ran (`Execution`). */
  readonly execution?: string
  /** Name of the key that the caller sent. */
  readonly key?: string
  /** Nonce that the result contains, if any. */
  readonly echoed?: string
  /** True if the answer contains a result. */
  readonly hasResult: boolean
  /** False if the body of the answer could not be read completely. */
  readonly isComplete: boolean
}

/** Slots and resources of a worker. */
export interface WorkerCapacity {
  readonly worker: string
  readonly slots: number
  readonly resources: Resources
}

/** A published upper limit of a team. */
export interface LimitChange {
  readonly team: string
  readonly limit: UpperLimit
  /** When the publication was sent: the limit may be in force from then on. */
  readonly sentMs: number
  /** When the publication was accepted: the previous limit may stay in force for some seconds longer. */
  readonly acceptedMs: number
}

/** A worker that started to leave: no new work may start on it. */
export interface LeavingWorker {
  readonly name: string
  readonly atMs: number
}

/** A key that was withdrawn: no new work may be accepted with it. */
export interface WithdrawnKey {
  readonly name: string
  readonly atMs: number
}

/** The configuration revisions that one process of a node had in effect, in the order observed. */
export interface RevisionHistory {
  /** Name of the node and id of the process, e.g. `f1/4711`. */
  readonly process: string
  readonly revisions: readonly number[]
}

/** All data on which the invariants are checked. */
export interface Evidence {
  readonly runs: readonly Run[]
  readonly answers: readonly Answer[]
  readonly capacities: readonly WorkerCapacity[]
  readonly limits: readonly LimitChange[]
  readonly leaving: readonly LeavingWorker[]
  readonly withdrawn: readonly WithdrawnKey[]
  readonly histories: readonly RevisionHistory[]
  /** Names of queues whose work must not run twice. */
  readonly nonIdempotent: readonly string[]
}

/** Evidence without any entry. */
export const NO_EVIDENCE: Evidence = {
  runs: [], answers: [], capacities: [], limits: [], leaving: [], withdrawn: [], histories: [], nonIdempotent: []
}
