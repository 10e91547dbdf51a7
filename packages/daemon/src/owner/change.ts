/**
 * The changes that an owner writes to its shard's stream.
 */
import { Codec, array, boolean, enumeration, exactly, number, optional, string, unknown, type GetType } from 'purify-ts/Codec'
import { AllotmentCodec, EpochCodec, ResourcesCodec } from '@fireflymount/protocol/message'

/** The kinds of change. */
export enum ChangeKind {
  /** A job was accepted. */
  Accepted = 'accepted',
  /** Tasks are about to be sent to workers. */
  Attempt = 'attempt',
  /** A run ended, or certainly never began. */
  Ended = 'ended',
  /** A job's cancellation was asked for. */
  Cancelled = 'cancelled',
  /** The standbys changed while the owner stayed. */
  Standbys = 'standbys',
  /** Part of a team's allotment left this shard. */
  Lent = 'lent',
  /** Part of a team's allotment came to this shard. */
  Borrowed = 'borrowed',
  /** The receiver of a lent part is known to have it. */
  Settled = 'settled',
  /** An operator closed a worker to new tasks, or opened it again. */
  Drained = 'drained'
}

/** How a run ended. */
export enum Outcome {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Cancelled = 'cancelled',
  /** Nobody can establish how it ended. */
  Unknown = 'unknown',
  /** It ended or never began, and the task waits again. */
  Again = 'again'
}

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

/** `spec` identifies what a replica was started as. */
export const RunCodec = Codec.interface({ task: string, attempt: number, worker: string, boot: string, spec: optional(string) })

export const AttemptCodec = Codec.interface({ kind: exactly(ChangeKind.Attempt), runs: array(RunCodec) })

export const EndedCodec = Codec.interface({
  kind: exactly(ChangeKind.Ended),
  task: string,
  attempt: number,
  outcome: enumeration(Outcome),
  result: optional(unknown),
  detail: optional(string),
  atMs: number
})

export const CancelledCodec = Codec.interface({ kind: exactly(ChangeKind.Cancelled), job: string, atMs: number })

export const StandbysCodec = Codec.interface({ kind: exactly(ChangeKind.Standbys), epoch: EpochCodec, names: array(string) })

/** Transfers from one shard to another of one team are numbered from 1; at most one is unsettled. */
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

/** The codec of each kind of change. */
export const CHANGE_CODECS: Readonly<Record<ChangeKind, Pick<Codec<unknown>, 'decode'>>> = {
  [ChangeKind.Accepted]: AcceptedCodec,
  [ChangeKind.Attempt]: AttemptCodec,
  [ChangeKind.Ended]: EndedCodec,
  [ChangeKind.Cancelled]: CancelledCodec,
  [ChangeKind.Standbys]: StandbysCodec,
  [ChangeKind.Lent]: LentCodec,
  [ChangeKind.Borrowed]: BorrowedCodec,
  [ChangeKind.Settled]: SettledCodec,
  [ChangeKind.Drained]: DrainedCodec
}

export type Accepted = GetType<typeof AcceptedCodec>
/** One run of an attempt. */
export interface Run {
  readonly task: string
  readonly attempt: number
  readonly worker: string
  readonly boot: string
  readonly spec?: string
}
/** Runs that are about to be sent. */
export interface Attempt {
  readonly kind: ChangeKind.Attempt
  readonly runs: readonly Run[]
}
/** The end of a run. */
export interface Ended {
  readonly kind: ChangeKind.Ended
  readonly task: string
  readonly attempt: number
  readonly outcome: Outcome
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

/** Any change of a shard. */
export type Change = Accepted | Attempt | Ended | Cancelled | Standbys | Lent | Borrowed | Settled | Drained

/**
 * Checks a change.
 *
 * @param value one change of a commit
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
