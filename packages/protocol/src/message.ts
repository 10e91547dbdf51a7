/**
 * The messages between daemons. Every message is validated by its codec when it arrives.
 *
 * Two systems share this package. In packages/daemon there are many shards, each with an owner, and records are kept in streams of
 * the platform's log service. packages/control is the scheduler in which one owner serves the whole cell; it keeps its records in
 * keyed topics of the store, the log service of the users' platform behind platform/.
 */
import { Codec, array, boolean, enumeration, exactly, nullType, number, oneOf, optional, string, unknown, type GetType } from 'purify-ts/Codec'
import { Left, Right } from 'purify-ts/Either'
import { ClockReadingCodec, type ClockReading } from './peer-clock.js'
import type { Epoch } from './epoch.js'
import type { Resources } from './resources.js'
import { Execution, Reason, type Refusal } from './refusal.js'

/** Version of the protocol between daemons. Daemons of different versions reject each other's connections. */
export const PROTOCOL_VERSION = 1

/**
 * The kinds of request that one daemon sends to another.
 *
 * Only packages/control uses Notice, Lookup, Advise, Relay, Succeed, Command and Disconnect. Its epochs are numbers, and its journal is the topic of
 * jobs, nodes and ownership. In the other kinds of request epochs are encoded by EpochCodec.
 */
export enum MessageKind {
  /** Runs a synchronous request. */
  Call = 'call',
  /** Accepts a durable job. */
  Submit = 'submit',
  /** Returns the state of one job. */
  Status = 'status',
  /** Cancels one job. */
  Cancel = 'cancel',
  /** Returns the reasons why a job has not started. */
  Explain = 'explain',
  /** Returns where new work would go now, and why, without accepting it. */
  DryRun = 'dry-run',
  /** Returns the state of a shard: workers, tasks, queues, burn counters. */
  Survey = 'survey',
  /**
   * Standby to owner: health check. Standby to another standby: asks what the standby that is asked knows about the owner. The
   * answer is described by OwnershipCodec.
   */
  Watch = 'watch',
  /** Owner asks a standby to pledge that it supports no epoch older than this one. */
  Pledge = 'pledge',
  /** Owner to standby before a planned shutdown: take over the shard now. */
  Handover = 'handover',
  /**
   * Owner of the lending shard to the owner of the borrowing one: part of a team's allotment that was lent. Repeated until it is
   * acknowledged.
   */
  Transfer = 'transfer',
  /** Owner to the owner of another shard: asks it to lend part of a team's allotment. */
  Borrow = 'borrow',
  /** Returns configuration records from an offset on, for a node that lacks them. */
  Records = 'records',
  /** Drains one worker, which then gets no new tasks, or makes it schedulable again. */
  Drain = 'drain',
  /** Places no new tasks of a shard on workers in an availability zone, or places them there again. */
  Evacuate = 'evacuate',
  /** Abandons a synchronous request whose caller has disconnected, if the request has not started yet. */
  Abandon = 'abandon',
  /** Entry node (which received a call) to owner: append records to the journal on behalf of the caller. */
  Notice = 'notice',
  /** Returns the phase of a job of packages/control. Such a job consists of steps that depend on each other. */
  Lookup = 'lookup',
  /**
   * Owner to any node: call the advisor service on behalf of the owner. The advisor issues tickets for the workers that may run
   * a step.
   */
  Advise = 'advise',
  /** Calls the store on behalf of a node that the store does not answer. */
  Relay = 'relay',
  /** Owner to all nodes before a planned shutdown: start to take over now. */
  Succeed = 'succeed',
  /** Owner to any node, which is then a gateway: send a command to a worker on behalf of the owner. */
  Command = 'command',
  /** Owner to a gateway: close its connections to a worker. */
  Disconnect = 'disconnect'
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
  kind: exactly(MessageKind.Call),
  id: optional(string),
  queue: string,
  team: string,
  budgetMs: number,
  body: unknown
})

/** Accepts a durable job. The job id is derived from the idempotency key, so that a retry finds the job of the first attempt. */
export const SubmitCodec = Codec.interface({
  kind: exactly(MessageKind.Submit),
  job: string,
  queue: string,
  team: string,
  digest: string,
  tasks: number,
  runtimeMs: optional(number),
  size: optional(ResourcesCodec),
  body: unknown
})

/** `waitMs` is how long to wait for the job to end. */
export const StatusCodec = Codec.interface({ kind: exactly(MessageKind.Status), job: string, waitMs: number })
export const CancelCodec = Codec.interface({ kind: exactly(MessageKind.Cancel), job: string })
export const ExplainCodec = Codec.interface({ kind: exactly(MessageKind.Explain), job: string })
/** Answered with a DryRunReport. `deadlineMs` is the time until the caller's deadline, for a queue of requests. */
export const DryRunCodec = Codec.interface({
  kind: exactly(MessageKind.DryRun),
  queue: string,
  team: string,
  tasks: number,
  runtimeMs: optional(number),
  size: optional(ResourcesCodec),
  deadlineMs: optional(number),
  label: optional(string),
  gang: optional(boolean)
})
export const SurveyCodec = Codec.interface({ kind: exactly(MessageKind.Survey), shard: string })
export const WatchCodec = Codec.interface({ kind: exactly(MessageKind.Watch), shard: string })
export const PledgeCodec = Codec.interface({ kind: exactly(MessageKind.Pledge), shard: string, epoch: EpochCodec })
export const HandoverCodec = Codec.interface({ kind: exactly(MessageKind.Handover), shard: string, epoch: EpochCodec })

/**
 * A number of running tasks and the sum of their sizes. Used for the part of a team's upper limit that one shard may use, for a
 * part of it that is transferred, and for what a team has running.
 */
export const AllotmentCodec = Codec.interface({ tasks: number, cpuMilli: number, memoryMb: number, accelerators: number })

/**
 * `from` is the shard that lends and `to` the one that borrows. `id` numbers the transfers of one team from the lender to the
 * borrower, as a decimal string.
 */
export const TransferCodec = Codec.interface({
  kind: exactly(MessageKind.Transfer),
  id: string,
  from: string,
  to: string,
  team: string,
  amount: AllotmentCodec
})

/** `from` is the shard that is to lend and `to` the one that borrows; `amount` is what the borrower asks for. */
export const BorrowCodec = Codec.interface({
  kind: exactly(MessageKind.Borrow),
  from: string,
  to: string,
  team: string,
  amount: AllotmentCodec
})

/** `from` is the first offset wanted. */
export const RecordsCodec = Codec.interface({ kind: exactly(MessageKind.Records), from: number })
/** Answered with `{ shard, worker, drained }`. */
export const DrainCodec = Codec.interface({ kind: exactly(MessageKind.Drain), shard: string, worker: string, drained: boolean })
/** Answered with `{ shard, zone, evacuated }`. */
export const EvacuateCodec = Codec.interface({
  kind: exactly(MessageKind.Evacuate),
  shard: string,
  zone: string,
  evacuated: boolean
})
/** Answered with true if the request was still waiting and has been abandoned. */
export const AbandonCodec = Codec.interface({ kind: exactly(MessageKind.Abandon), shard: string, call: string })

/** A field of raw bytes. */
const bytes = Codec.custom<Buffer>({
  decode: (value) => Buffer.isBuffer(value) ? Right(value) : Left('The value is not bytes.'),
  encode: (value) => value
})
const record = Codec.interface({ key: string, value: optional(bytes) })

/** Records to append. Answered with true once the store has acknowledged them. */
export const NoticeCodec = Codec.interface({ kind: exactly(MessageKind.Notice), records: array(record), timeoutMs: number })
/** In place of a job in a lookup: the jobs that are assigned and have not started. */
export const ALL_UNSTARTED = ''
/**
 * Answered with the phase, or with null if the owner does not know the job on this queue. Nodes of earlier builds name no queue. For
 * `ALL_UNSTARTED`, answered with the number of such jobs on the queue; owners of earlier builds answer with null.
 */
export const LookupCodec = Codec.interface({ kind: exactly(MessageKind.Lookup), job: string, queue: optional(string) })
/** Answered with pairs of a worker and its ticket, without which the worker may not run the step. */
export const AdviseCodec = Codec.interface({
  kind: exactly(MessageKind.Advise), step: string, workers: array(string), timeoutMs: number
})
/**
 * Contains exactly one of the calls `append`, `read` and `newest`. Answered with the result that the store returned.
 * `fence` guards an append by the epoch of the owner and the sequence number of the append; without it the append is not fenced.
 * `read.from` is the offset of the first record. `newest` reads the newest record of each key, by page; `newest.after` is the key
 * to continue after, absent for the first page.
 */
export const RelayCodec = Codec.interface({
  kind: exactly(MessageKind.Relay),
  topic: string,
  append: optional(Codec.interface({
    records: array(record), fence: optional(Codec.interface({ epoch: number, sequence: number }))
  })),
  read: optional(Codec.interface({ from: number, waitMs: number })),
  newest: optional(Codec.interface({ after: optional(string) }))
})
export const SucceedCodec = Codec.interface({ kind: exactly(MessageKind.Succeed), epoch: number })

/** What a gateway needs to know of a worker. `born` is the start time of the incarnation that the owner knows. */
const workerAddress = Codec.interface({ id: string, address: string, zone: string, born: number })
/**
 * Contains exactly one of the commands `start`, `stop`, `throttle` and `report`, see Fleet in packages/control. `fence` is the
 * epoch of the owner; other deadlines than `notAfter` of the frame are on the worker's clock. Answered with the result of the
 * call to the worker. A refusal with Execution.NotRun means that the gateway has not made the call.
 */
export const CommandCodec = Codec.interface({
  kind: exactly(MessageKind.Command),
  worker: workerAddress,
  start: optional(Codec.interface({
    task: string, run: number, payload: string, deadlineMs: number, fence: number, checkpoint: string, ticket: string
  })),
  stop: optional(Codec.interface({ task: string, run: number, fence: number })),
  throttle: optional(Codec.interface({ task: string, run: number, fence: number, percent: number })),
  report: optional(Codec.interface({ fence: number, acknowledged: number, deadlineMs: optional(number), waitMs: number }))
})
/** Answered with true. */
export const DisconnectCodec = Codec.interface({ kind: exactly(MessageKind.Disconnect), worker: workerAddress })

/** The codec of each kind of request. */
export const REQUEST_CODECS = {
  [MessageKind.Call]: CallCodec,
  [MessageKind.Submit]: SubmitCodec,
  [MessageKind.Status]: StatusCodec,
  [MessageKind.Cancel]: CancelCodec,
  [MessageKind.Explain]: ExplainCodec,
  [MessageKind.DryRun]: DryRunCodec,
  [MessageKind.Survey]: SurveyCodec,
  [MessageKind.Watch]: WatchCodec,
  [MessageKind.Pledge]: PledgeCodec,
  [MessageKind.Handover]: HandoverCodec,
  [MessageKind.Transfer]: TransferCodec,
  [MessageKind.Borrow]: BorrowCodec,
  [MessageKind.Records]: RecordsCodec,
  [MessageKind.Drain]: DrainCodec,
  [MessageKind.Evacuate]: EvacuateCodec,
  [MessageKind.Abandon]: AbandonCodec,
  [MessageKind.Notice]: NoticeCodec,
  [MessageKind.Lookup]: LookupCodec,
  [MessageKind.Advise]: AdviseCodec,
  [MessageKind.Relay]: RelayCodec,
  [MessageKind.Succeed]: SucceedCodec,
  [MessageKind.Command]: CommandCodec,
  [MessageKind.Disconnect]: DisconnectCodec
}

export interface Call {
  readonly kind: MessageKind.Call
  /** Unique id chosen by the node that received the call, by which it can abandon the request. */
  readonly id?: string
  readonly queue: string
  readonly team: string
  readonly budgetMs: number
  readonly body?: unknown
}
export interface Submit {
  readonly kind: MessageKind.Submit
  readonly job: string
  readonly queue: string
  readonly team: string
  /** Digest of the job's content. An idempotency key that is used again for different content is refused. */
  readonly digest: string
  readonly tasks: number
  readonly runtimeMs?: number
  readonly size?: Resources
  readonly body?: unknown
}
export type Status = GetType<typeof StatusCodec>
export type Cancel = GetType<typeof CancelCodec>
export type Explain = GetType<typeof ExplainCodec>
export interface DryRun {
  readonly kind: MessageKind.DryRun
  readonly queue: string
  readonly team: string
  readonly tasks: number
  readonly runtimeMs?: number | undefined
  readonly size?: Resources | undefined
  readonly deadlineMs?: number | undefined
  /** Label that a worker must have. Only packages/control has labels. */
  readonly label?: string | undefined
  /** The tasks start together. In packages/daemon this depends on the queue. */
  readonly gang?: boolean | undefined
}
export type Survey = GetType<typeof SurveyCodec>
export type Watch = GetType<typeof WatchCodec>
export type Pledge = GetType<typeof PledgeCodec>
export type Handover = GetType<typeof HandoverCodec>
export type Allotment = GetType<typeof AllotmentCodec>
export type Transfer = GetType<typeof TransferCodec>
export type Borrow = GetType<typeof BorrowCodec>
export type Records = GetType<typeof RecordsCodec>
export type Drain = GetType<typeof DrainCodec>
export type Evacuate = GetType<typeof EvacuateCodec>
export type Notice = GetType<typeof NoticeCodec>
export type Lookup = GetType<typeof LookupCodec>
export type Advise = GetType<typeof AdviseCodec>
export type Relay = GetType<typeof RelayCodec>
export type Succeed = GetType<typeof SucceedCodec>
export interface Command {
  readonly kind: MessageKind.Command
  readonly worker: GetType<typeof workerAddress>
  readonly start?: {
    readonly task: string
    readonly run: number
    readonly payload: string
    readonly deadlineMs: number
    readonly fence: number
    readonly checkpoint: string
    readonly ticket: string
  }
  readonly stop?: { readonly task: string, readonly run: number, readonly fence: number }
  readonly throttle?: { readonly task: string, readonly run: number, readonly fence: number, readonly percent: number }
  readonly report?: {
    readonly fence: number
    readonly acknowledged: number
    readonly deadlineMs?: number | undefined
    readonly waitMs: number
  }
}
export type Disconnect = GetType<typeof DisconnectCodec>
export type Abandon = GetType<typeof AbandonCodec>
export type Request = Call | Submit | Status | Cancel | Explain | DryRun | Survey | Watch | Pledge | Handover |
  Transfer | Borrow | Records | Drain | Evacuate | Abandon | Notice | Lookup | Advise | Relay | Succeed | Command | Disconnect

/** States of a durable job. */
export enum JobState {
  Waiting = 'waiting',
  Running = 'running',
  Succeeded = 'succeeded',
  Failed = 'failed',
  Cancelled = 'cancelled',
  /** The outcome of an attempt cannot be determined. The job is not run again. */
  Unknown = 'unknown'
}

/** A node's answer to MessageKind.Watch: what it knows about the ownership of the shard. */
export const OwnershipCodec = Codec.interface({
  /** The newest epoch that the node knows. */
  epoch: EpochCodec,
  owner: boolean,
  /**
   * Only from a node that does not own the shard: milliseconds since the owner's last answer or another restart of the failure
   * detection.
   */
  heardMs: optional(number),
  /** Only from a node that does not own the shard: true while it takes over the shard. */
  claiming: optional(boolean)
})
/** A node's answer to MessageKind.Watch, as OwnershipCodec decodes it. */
export interface Ownership {
  readonly epoch: Epoch
  readonly owner: boolean
  readonly heardMs?: number
  readonly claiming?: boolean
}

/** A standby's answer to MessageKind.Pledge: whether it has made the pledge, and the newest epoch that it knows. */
export const GrantCodec = Codec.interface({ granted: boolean, epoch: EpochCodec })
export type Grant = GetType<typeof GrantCodec>

/**
 * The answer to MessageKind.Borrow: id and amount of the transfer that the lender made, or of an earlier transfer that the lender
 * does not yet know to be recorded by the borrower.
 * The answer to MessageKind.Transfer: id of the transfer that was accepted.
 */
export const LoanCodec = Codec.interface({ id: optional(string), amount: optional(AllotmentCodec) })
export interface Loan {
  readonly id?: string
  readonly amount?: Allotment
}

/**
 * A job as callers see it: the answer to MessageKind.Submit, MessageKind.Status and MessageKind.Cancel. Times are wall-clock
 * milliseconds.
 */
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
export interface Job {
  readonly job: string
  readonly queue: string
  readonly team: string
  readonly state: JobState
  readonly tasks: number
  readonly attempts: number
  readonly acceptedMs: number
  readonly endedMs?: number
  readonly result?: unknown
  readonly detail?: string
}

/** The first frame that each end sends on a connection. `clock` is a reading of the sender's clocks. */
export const HelloCodec = Codec.interface({
  frame: exactly('hello'), version: number, node: string, zone: string, clock: optional(ClockReadingCodec)
})
/**
 * A request with its id. `notAfter` is a moment on the clocks of the receiver, after which it refuses the request; absent if the
 * request has no such deadline.
 */
export const AskCodec = Codec.interface({
  frame: exactly('ask'), id: number, request: unknown, notAfter: optional(ClockReadingCodec)
})
/** An answer with the id of its request, and either a value or a refusal. */
export const AnswerCodec = Codec.interface({
  frame: exactly('answer'),
  id: number,
  value: optional(unknown),
  refusal: optional(oneOf([RefusalCodec, nullType]))
})
/**
 * The sender takes no new requests. It closes the connection once its requests in progress are finished or a time limit
 * has passed (see `timing.drainMs`).
 */
export const LeaveCodec = Codec.interface({
  frame: exactly('leave'),
  /** Receivers ignore it. */
  drained: boolean
})

export interface Hello {
  readonly frame: 'hello'
  readonly version: number
  readonly node: string
  readonly zone: string
  readonly clock?: ClockReading
}
export interface Ask {
  readonly frame: 'ask'
  readonly id: number
  readonly request: unknown
  readonly notAfter?: ClockReading
}
export interface Answer {
  readonly frame: 'answer'
  readonly id: number
  readonly value?: unknown
  readonly refusal?: Refusal | null
}
export type Leave = GetType<typeof LeaveCodec>
/** Any frame of a connection. */
export type Frame = Hello | Ask | Answer | Leave

/** Configuration records as a peer returns them: the answer to MessageKind.Records. */
export const RecordsPageCodec = Codec.interface({
  records: array(Codec.interface({ offset: number, data: unknown })),
  /** Offset from which to read on. */
  next: number,
  /** Time since the answering node was last known to be up to date; absent if there are more records from `next` on. */
  ageMs: optional(number),
  /**
   * Replaces the records before `next`, some of which the answering node has discarded; `asOf` is the offset of the last record
   * that the snapshot contains.
   */
  snapshot: optional(Codec.interface({ asOf: number, parts: array(unknown) }))
})

/** Configuration records of a peer, as RecordsPageCodec decodes them. */
export interface RecordsPage {
  readonly records: ReadonlyArray<{ readonly offset: number, readonly data: unknown }>
  readonly next: number
  readonly ageMs?: number
  readonly snapshot?: { readonly asOf: number, readonly parts: readonly unknown[] }
}
