/**
 * What is known after a scenario: the workers' own record, what callers were told, and what operators declared.
 * All times are milliseconds of one clock of the machine.
 */
import type { UpperLimit } from '@fireflymount/manifest/manifest'
import type { Resources } from '@fireflymount/protocol/resources'

/** One run on a worker, as the worker recorded it. */
export interface Run {
  readonly worker: string
  /** Id of the task, or of the request. */
  readonly task: string
  readonly attempt: number
  readonly request: boolean
  readonly team: string
  /** The queue or service. */
  readonly kind: string
  readonly size: Resources
  /** Value that the caller put into the body; the same for all tasks of a job. */
  readonly nonce?: string
  readonly startedMs: number
  /** Absent while it runs. */
  readonly endedMs?: number
}

/** What a caller was told about one piece of work. */
export interface Answer {
  readonly nonce: string
  /** Name in the scenario. */
  readonly name: string
  readonly queue: string
  readonly sentMs: number
  readonly answeredMs: number
  /** Accepted, answered, the reason of the refusal, or how the answer was lost. */
  readonly outcome: string
  /** What the answer says about execution, if it is a refusal. */
  readonly execution?: string
  /** Name of the key that came with it. */
  readonly key?: string
  /** Nonce in the result, if there is one. */
  readonly echoed?: string
  /** True if a result came back at all. */
  readonly hasResult: boolean
  /** False if the body of the answer could not be read to its end. */
  readonly whole: boolean
}

/** What a worker has. */
export interface Capacity {
  readonly worker: string
  readonly slots: number
  readonly resources: Resources
}

/** An upper limit that was published. */
export interface LimitChange {
  readonly team: string
  readonly limit: UpperLimit
  /** When the publication was sent: it may be in force from here on. */
  readonly sentMs: number
  /** When the publication was accepted: the limit before it may be in force for some seconds more. */
  readonly acceptedMs: number
}

/** Something that is over from a time on: a worker that leaves, or a key that was withdrawn. */
export interface Departure {
  readonly name: string
  readonly atMs: number
}

/** Revisions that one process of a node had in effect, in the order observed. */
export interface History {
  readonly node: string
  readonly revisions: readonly number[]
}

/** Everything that the invariants are checked on. */
export interface Evidence {
  readonly runs: readonly Run[]
  readonly answers: readonly Answer[]
  readonly capacities: readonly Capacity[]
  readonly limits: readonly LimitChange[]
  readonly leaving: readonly Departure[]
  readonly withdrawn: readonly Departure[]
  readonly histories: readonly History[]
  /** Queues whose work must not run twice. */
  readonly nonIdempotent: readonly string[]
}

/** Evidence of nothing. */
export const NO_EVIDENCE: Evidence = {
  runs: [], answers: [], capacities: [], limits: [], leaving: [], withdrawn: [], histories: [], nonIdempotent: []
}
