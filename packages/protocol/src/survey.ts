/**
 * The report of an owner about its shard, for operators.
 */
import { Codec, array, boolean, number, optional, string, unknown, type GetType } from 'purify-ts/Codec'
import { AllotmentCodec, EpochCodec, ResourcesCodec } from './message.js'

/** The number of good events and of all events. */
export const EventCountsCodec = Codec.interface({ good: number, total: number })

/** The events of a time window that ends now. */
export const WindowCodec = Codec.interface({ windowMs: number, good: number, total: number })

/** The events of one step of a time series. `startMs` is wall-clock time. */
export const TimeStepCodec = Codec.interface({ startMs: number, good: number, total: number })

/** The events that one node has counted for one objective and one team. */
export const ObjectiveCountsCodec = Codec.interface({
  objective: string,
  queue: string,
  team: string,
  node: string,
  /** Wall-clock time at which this node started to count; earlier events are missing. */
  sinceMs: number,
  windows: array(WindowCodec),
  /** Duration of each step. */
  stepMs: number,
  steps: array(TimeStepCodec)
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

/** A team's waiting and running work in the shard. */
export const TeamReportCodec = Codec.interface({
  team: string,
  waiting: number,
  running: AllotmentCodec,
  /** What the team may have running, Infinity in dimensions without a limit. Only for display and therefore not validated. */
  allotment: optional(unknown)
})

/** Waiting and running work of a queue of the shard. */
export const QueueReportCodec = Codec.interface({ queue: string, waiting: number, running: number })

/** The answer to MessageKind.Survey. */
export const SurveyReportCodec = Codec.interface({
  shard: string,
  node: string,
  epoch: EpochCodec,
  /**
   * Whether the owner may serve requests, start tasks and command its workers at present. It may if the log or a pledge of a
   * standby has confirmed its ownership within `confirmationMs`, or if it is a provisional owner, which has taken
   * over while the log was unavailable.
   */
  confirmed: boolean,
  waiting: number,
  running: number,
  workers: array(WorkerReportCodec),
  /** Availability zones in which the shard places no new tasks. */
  evacuatedZones: optional(array(string)),
  teams: array(TeamReportCodec),
  queues: array(QueueReportCodec),
  /** Wall-clock time at which this owner started to count; the counts of its predecessor are lost. */
  countingSinceMs: optional(number),
  burn: array(ObjectiveCountsCodec)
})

export type EventCounts = GetType<typeof EventCountsCodec>
export type Window = GetType<typeof WindowCodec>
export type TimeStep = GetType<typeof TimeStepCodec>
export type ObjectiveCounts = GetType<typeof ObjectiveCountsCodec>
export type WorkerReport = GetType<typeof WorkerReportCodec>
export type TeamReport = GetType<typeof TeamReportCodec>
export type QueueReport = GetType<typeof QueueReportCodec>
export type SurveyReport = GetType<typeof SurveyReportCodec>
