/**
 * What an owner reports about its shard, as operators see it.
 */
import { Codec, array, boolean, number, optional, string, unknown, type GetType } from 'purify-ts/Codec'
import { AllotmentCodec, EpochCodec, ResourcesCodec } from './message.js'

/** Good events and all events. */
export const TallyCodec = Codec.interface({ good: number, total: number })

/** Events of a recent period that ends now. */
export const WindowCodec = Codec.interface({ windowMs: number, good: number, total: number })

/** Events of one step of time. `startMs` is wall-clock time. */
export const StepCodec = Codec.interface({ startMs: number, good: number, total: number })

/** What one node counted for one objective and team. */
export const BurnCodec = Codec.interface({
  objective: string,
  queue: string,
  team: string,
  node: string,
  /** Wall-clock time at which this node began to count; earlier events are missing. */
  sinceMs: number,
  windows: array(WindowCodec),
  stepMs: number,
  steps: array(StepCodec)
})

/** A worker of the shard. */
export const WorkerReportCodec = Codec.interface({
  worker: string,
  condition: string,
  zone: optional(string),
  rack: optional(string),
  capacity: optional(ResourcesCodec),
  used: optional(ResourcesCodec),
  slots: optional(number),
  running: number
})

/** A team's work in the shard. */
export const TeamReportCodec = Codec.interface({
  team: string,
  waiting: number,
  running: AllotmentCodec,
  allotment: optional(unknown)
})

/** A queue of the shard. */
export const QueueReportCodec = Codec.interface({ queue: string, waiting: number, running: number })

/** The answer to Survey. */
export const SurveyReportCodec = Codec.interface({
  shard: string,
  node: string,
  epoch: EpochCodec,
  confirmed: boolean,
  waiting: number,
  running: number,
  workers: array(WorkerReportCodec),
  teams: array(TeamReportCodec),
  queues: array(QueueReportCodec),
  /** Wall-clock time at which this owner began to count; what its predecessor had counted is lost. */
  countingSinceMs: optional(number),
  burn: array(BurnCodec)
})

export type Tally = GetType<typeof TallyCodec>
export type Window = GetType<typeof WindowCodec>
export type Step = GetType<typeof StepCodec>
export type Burn = GetType<typeof BurnCodec>
export type WorkerReport = GetType<typeof WorkerReportCodec>
export type TeamReport = GetType<typeof TeamReportCodec>
export type QueueReport = GetType<typeof QueueReportCodec>
export type SurveyReport = GetType<typeof SurveyReportCodec>
