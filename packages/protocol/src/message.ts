/**
 * The messages between daemons. Every message is checked against its codec when it arrives.
 */
import { Codec, array, boolean, enumeration, exactly, nullType, number, oneOf, optional, string, unknown, type GetType } from 'purify-ts/Codec'
import { Execution, Reason } from './refusal.js'

/** Version of the inner protocol. Daemons of different versions refuse each other's connections. */
export const PROTOCOL_VERSION = 1

/** The kinds of request that one daemon sends to another. */
export enum Kind {
  /** Runs a synchronous request. */
  Call = 'call',
  /** Accepts a durable job. */
  Submit = 'submit',
  /** Returns one job. */
  Status = 'status',
  /** Cancels one job. */
  Cancel = 'cancel',
  /** Returns why a job waits. */
  Explain = 'explain',
  /** Returns the state of a shard: workers, tasks, queues, burn counters. */
  Survey = 'survey',
  /** Standby to owner: are you there; the answer tells the epoch. */
  Watch = 'watch',
  /** Owner to standby: promise not to claim for some time. */
  Promise = 'promise',
  /** Standby to owner, or planned stop: hand the shard over. */
  Handover = 'handover',
  /** Moves part of a team's allotment from one shard to another. */
  Transfer = 'transfer',
  /** Asks another shard's owner for part of a team's allotment. */
  Borrow = 'borrow',
  /** Returns configuration records that the asking node lacks. */
  Records = 'records'
}

export const EpochCodec = Codec.interface({ counter: number, node: string })

export const ResourcesCodec = Codec.interface({ cpuMilli: number, memoryMb: number, accelerators: number })

export const RefusalCodec = Codec.interface({
  reason: enumeration(Reason),
  detail: string,
  execution: enumeration(Execution),
  retryAfterMs: optional(number),
  node: optional(string)
})

/** Runs a synchronous request on a queue. `budgetMs` is the time left until the caller's deadline. */
export const CallCodec = Codec.interface({
  kind: exactly(Kind.Call),
  queue: string,
  team: string,
  budgetMs: number,
  body: unknown
})

/** Accepts a durable job. The id is derived from the idempotency key, so that a repeat meets the first. */
export const SubmitCodec = Codec.interface({
  kind: exactly(Kind.Submit),
  job: string,
  queue: string,
  team: string,
  digest: string,
  tasks: number,
  runtimeMs: optional(number),
  size: optional(ResourcesCodec),
  body: unknown
})

export const StatusCodec = Codec.interface({ kind: exactly(Kind.Status), job: string, waitMs: number })
export const CancelCodec = Codec.interface({ kind: exactly(Kind.Cancel), job: string })
export const ExplainCodec = Codec.interface({ kind: exactly(Kind.Explain), job: string })
export const SurveyCodec = Codec.interface({ kind: exactly(Kind.Survey), shard: string })
export const WatchCodec = Codec.interface({ kind: exactly(Kind.Watch), shard: string })
export const PromiseCodec = Codec.interface({ kind: exactly(Kind.Promise), shard: string, epoch: EpochCodec, forMs: number })
export const HandoverCodec = Codec.interface({ kind: exactly(Kind.Handover), shard: string, epoch: EpochCodec })

/** Amount of a team's upper limit: running tasks and their sizes. */
export const AllotmentCodec = Codec.interface({ tasks: number, cpuMilli: number, memoryMb: number, accelerators: number })

export const TransferCodec = Codec.interface({
  kind: exactly(Kind.Transfer),
  id: string,
  from: string,
  to: string,
  team: string,
  amount: AllotmentCodec
})

export const BorrowCodec = Codec.interface({
  kind: exactly(Kind.Borrow),
  from: string,
  to: string,
  team: string,
  amount: AllotmentCodec
})

export const RecordsCodec = Codec.interface({ kind: exactly(Kind.Records), from: number })

export const RequestCodec = oneOf([
  CallCodec, SubmitCodec, StatusCodec, CancelCodec, ExplainCodec, SurveyCodec, WatchCodec, PromiseCodec,
  HandoverCodec, TransferCodec, BorrowCodec, RecordsCodec
])

export type Call = GetType<typeof CallCodec>
export type Submit = GetType<typeof SubmitCodec>
export type Status = GetType<typeof StatusCodec>
export type Cancel = GetType<typeof CancelCodec>
export type Explain = GetType<typeof ExplainCodec>
export type Survey = GetType<typeof SurveyCodec>
export type Watch = GetType<typeof WatchCodec>
export type Pledge = GetType<typeof PromiseCodec>
export type Handover = GetType<typeof HandoverCodec>
export type Allotment = GetType<typeof AllotmentCodec>
export type Transfer = GetType<typeof TransferCodec>
export type Borrow = GetType<typeof BorrowCodec>
export type Records = GetType<typeof RecordsCodec>
export type Request = Call | Submit | Status | Cancel | Explain | Survey | Watch | Pledge | Handover | Transfer | Borrow | Records

/** States of a durable job. */
export enum JobState {
  Waiting = 'waiting',
  Running = 'running',
  Succeeded = 'succeeded',
  Failed = 'failed',
  Cancelled = 'cancelled',
  /** An attempt was made whose outcome nobody can establish. It is not run again. */
  Unknown = 'unknown'
}

/** A job as callers see it: the answer to Submit, Status and Cancel. */
export const JobCodec = Codec.interface({
  job: string,
  queue: string,
  team: string,
  state: enumeration(JobState),
  tasks: number,
  attempts: number,
  acceptedMs: number,
  endedMs: optional(number),
  result: optional(unknown),
  detail: optional(string)
})
export type Job = GetType<typeof JobCodec>

/** The first frame on a connection, from both ends. */
export const HelloCodec = Codec.interface({ frame: exactly('hello'), version: number, node: string, zone: string })
/** A heartbeat and its echo. */
export const PingCodec = Codec.interface({ frame: exactly('ping'), sequence: number })
export const PongCodec = Codec.interface({ frame: exactly('pong'), sequence: number })
/** A request with its id. */
export const AskCodec = Codec.interface({ frame: exactly('ask'), id: number, request: RequestCodec })
/** An answer with the id of its request, and either a value or a refusal. */
export const AnswerCodec = Codec.interface({
  frame: exactly('answer'),
  id: number,
  value: optional(unknown),
  refusal: optional(oneOf([RefusalCodec, nullType]))
})
/** The sender will close after its open requests are answered and takes no new ones. */
export const LeaveCodec = Codec.interface({ frame: exactly('leave'), drained: boolean })

export const FrameCodec = oneOf([HelloCodec, PingCodec, PongCodec, AskCodec, AnswerCodec, LeaveCodec])

export type Hello = GetType<typeof HelloCodec>
export type Ping = GetType<typeof PingCodec>
export type Pong = GetType<typeof PongCodec>
export type Ask = GetType<typeof AskCodec>
export type Answer = GetType<typeof AnswerCodec>
export type Leave = GetType<typeof LeaveCodec>
export type Frame = Hello | Ping | Pong | Ask | Answer | Leave

/** Configuration records as a peer hands them on. */
export const RecordsPageCodec = Codec.interface({
  records: array(Codec.interface({ offset: number, data: unknown })),
  next: number
})
export type RecordsPage = GetType<typeof RecordsPageCodec>
