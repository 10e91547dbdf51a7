/**
 * The changes that an owner writes to its shard's stream, and their codecs.
 */
import { Codec, array, boolean, enumeration, exactly, number, optional, string, unknown, type GetType } from 'purify-ts/Codec'
import { AllotmentCodec, EpochCodec, ResourcesCodec } from '@fireflymount/protocol/message'

/** The kinds of change. */
export enum ChangeKind {
  /** A job was accepted. */
  Accepted = 'accepted',
  /**
   * The record of an attempt to start tasks, with one run for each; written before the runs are sent to workers. Not to be
   * confused with the `attempt` number of a run.
   */
  Attempt = 'attempt',
  /** A run ended, or its result is lost. */
  Ended = 'ended',
  /** The cancellation of a job was requested. */
  Cancelled = 'cancelled',
  /** The set of standbys changed under the same owner. */
  Standbys = 'standbys',
  /** A transfer from this shard: it gave part of a team's allotment to another shard. */
  Lent = 'lent',
  /** A transfer to this shard: it received part of a team's allotment from another shard. */
  Borrowed = 'borrowed',
  /** A transfer from this shard is settled: its receiver has recorded it. */
  Settled = 'settled',
  /** An operator closed a worker to new tasks, or reopened it. */
  Drained = 'drained',
  /** An operator asked for the evacuation of an availability zone, or took it back. */
  Evacuated = 'evacuated'
}

/**
 * What the end of a run means for its task; also the outcome of a task. Of the outcomes of a task, only `Unknown` may still be
 * replaced by a later report.
 */
export enum RunOutcome {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Cancelled = 'cancelled',
  /** It cannot be determined how the run ended. */
  Unknown = 'unknown',
  /** The run did not complete the task, which is queued again unless its job is cancelled. Never the outcome of a task. */
  Retry = 'again'
}

/**
 * `digest` is a hash of the submission's content, which distinguishes a repeated submission from a reused key. `atMs` is the wall-clock
 * time.
 */
export const AcceptedCodec = Codec.interface({
  kind: exactly(ChangeKind.Accepted),
  job: string,
  queue: string,
  team: string,
  digest: string,
  idempotent: boolean,
  gang: boolean,
  tasks: number,
  runtimeMs: number,
  size: ResourcesCodec,
  body: unknown,
  atMs: number
})

/**
 * `boot` is the id of the worker's incarnation (one per process start). `spec` is a hash of the size and body that a replica was
 * started with.
 */
export const RunRecordCodec = Codec.interface({
  task: string, attempt: number, worker: string, boot: string, spec: optional(string)
})

export const AttemptChangeCodec = Codec.interface({ kind: exactly(ChangeKind.Attempt), runs: array(RunRecordCodec) })

/** With `RunOutcome.Retry`, `detail` is present only if the run failed; the changes of lost and stopped runs have none. */
export const EndedCodec = Codec.interface({
  kind: exactly(ChangeKind.Ended),
  task: string,
  attempt: number,
  outcome: enumeration(RunOutcome),
  result: optional(unknown),
  detail: optional(string),
  atMs: number
})

export const CancelledCodec = Codec.interface({ kind: exactly(ChangeKind.Cancelled), job: string, atMs: number })

export const StandbysCodec = Codec.interface({ kind: exactly(ChangeKind.Standbys), epoch: EpochCodec, names: array(string) })

/** The transfers of one team from one shard to another are numbered from 1; at most one of them is unsettled. */
export const LentCodec = Codec.interface({
  kind: exactly(ChangeKind.Lent),
  to: string,
  team: string,
  sequence: number,
  amount: AllotmentCodec
})

export const BorrowedCodec = Codec.interface({
  kind: exactly(ChangeKind.Borrowed),
  from: string,
  team: string,
  sequence: number,
  amount: AllotmentCodec
})

export const SettledCodec = Codec.interface({ kind: exactly(ChangeKind.Settled), to: string, team: string, sequence: number })

export const DrainedCodec = Codec.interface({ kind: exactly(ChangeKind.Drained), worker: string, drained: boolean })

export const EvacuatedCodec = Codec.interface({ kind: exactly(ChangeKind.Evacuated), zone: string, evacuated: boolean })

/** The codec of each kind of change. */
export const CHANGE_CODECS: Readonly<Record<ChangeKind, Pick<Codec<unknown>, 'decode'>>> = {
  [ChangeKind.Accepted]: AcceptedCodec,
  [ChangeKind.Attempt]: AttemptChangeCodec,
  [ChangeKind.Ended]: EndedCodec,
  [ChangeKind.Cancelled]: CancelledCodec,
  [ChangeKind.Standbys]: StandbysCodec,
  [ChangeKind.Lent]: LentCodec,
  [ChangeKind.Borrowed]: BorrowedCodec,
  [ChangeKind.Settled]: SettledCodec,
  [ChangeKind.Drained]: DrainedCodec,
  [ChangeKind.Evacuated]: EvacuatedCodec
}

export type Accepted = GetType<typeof AcceptedCodec>
/** One run, as recorded before it is sent. */
export interface RunRecord {
  readonly task: string
  readonly attempt: number
  readonly worker: string
  readonly boot: string
  readonly spec?: string
}
/** The record of an attempt to start tasks: runs that are about to be sent to workers. */
export interface AttemptChange {
  readonly kind: ChangeKind.Attempt
  readonly runs: readonly RunRecord[]
}
/** The end of a run. */
export interface Ended {
  readonly kind: ChangeKind.Ended
  readonly task: string
  readonly attempt: number
  readonly outcome: RunOutcome
  readonly result?: unknown
  readonly detail?: string
  readonly atMs: number
}
export type Cancelled = GetType<typeof CancelledCodec>
export type Standbys = GetType<typeof StandbysCodec>
export type Lent = GetType<typeof LentCodec>
export type Borrowed = GetType<typeof BorrowedCodec>
export type Settled = GetType<typeof SettledCodec>
export type Drained = GetType<typeof DrainedCodec>
export type Evacuated = GetType<typeof EvacuatedCodec>

/** Any change in a shard's stream. */
export type Change = Accepted | AttemptChange | Ended | Cancelled | Standbys | Lent | Borrowed | Settled | Drained |
  Evacuated

/**
 * Decodes a change.
 *
 * @param value one change from the stream
 * @returns the change, or undefined if no codec accepts it
 *
 * @example
 * const change = parseChange(value)
 */
export function parseChange (value: unknown): Change | undefined {
  const kind = (value as { kind?: ChangeKind } | null)?.kind
  if (typeof kind !== 'string' || !Object.hasOwn(CHANGE_CODECS, kind)) return undefined
  return CHANGE_CODECS[kind].decode(value).caseOf<Change | undefined>({
    Left: () => undefined,
    Right: (change) => change as Change
  })
}
