/**
 * Codecs of the messages of the platform's services and of workers. Clients validate every response with them.
 */
import { EpochCodec, ResourcesCodec } from '@fireflymount/protocol/message'
import { Codec, array, boolean, enumeration, number, optional, string, unknown, type GetType } from 'purify-ts/Codec'
import { VmRole, VmState } from './vm-list.js'
import { TaskState, WorkerFailure } from './worker.js'

export const LogRecordCodec = Codec.interface({ offset: number, data: unknown })

export const LogPageCodec = Codec.interface({ records: array(LogRecordCodec), next: number, earliest: number })

export const AppendedCodec = Codec.interface({ offset: number })

export const ExpiredCodec = Codec.interface({ earliest: number })

export const VmCodec = Codec.interface({
  id: string,
  role: enumeration(VmRole),
  state: enumeration(VmState),
  address: string,
  zone: string,
  rack: string,
  upstream: optional(string),
  resources: optional(ResourcesCodec),
  slots: optional(number)
})

export const VmsCodec = Codec.interface({ vms: array(VmCodec) })

export const TaskReportCodec = Codec.interface({
  id: string,
  attempt: number,
  team: string,
  kind: string,
  size: ResourcesCodec,
  state: enumeration(TaskState),
  result: optional(unknown),
  usage: optional(ResourcesCodec),
  runtimeMs: number
})

export const WorkerReportCodec = Codec.interface({ boot: string, clockMs: number, tasks: array(TaskReportCodec) })

export const AdoptCodec = Codec.interface({ leaseMs: number })

export const StartCodec = Codec.interface({
  attempt: number,
  team: string,
  kind: string,
  size: ResourcesCodec,
  body: optional(unknown),
  untilMs: number
})

export const StopCodec = Codec.interface({ attempt: number, checkpoint: boolean })

export const ThrottleCodec = Codec.interface({ cpuMilli: number })

export const RenewCodec = Codec.interface({ untilMs: number, acknowledged: array(string), waitMs: number })

export const WorkerRequestCodec = Codec.interface({
  id: string,
  team: string,
  kind: string,
  size: ResourcesCodec,
  body: optional(unknown)
})

export const RequestResponseCodec = Codec.interface({ id: string, value: optional(unknown) })

export const WorkerErrorCodec = Codec.interface({
  failure: enumeration(WorkerFailure),
  detail: optional(string),
  epoch: optional(EpochCodec)
})

export type Adopt = GetType<typeof AdoptCodec>
export type Start = GetType<typeof StartCodec>
export type Renew = GetType<typeof RenewCodec>

/** Header of a command or request to a worker: the epoch under which it is sent, as `counter:node`. */
export const EPOCH_HEADER = 'fireflymount-epoch'

/** Header of a command or request to a worker other than an adoption: the incarnation that it is meant for. */
export const BOOT_HEADER = 'fireflymount-boot'

/** Header of a call to the platform's services: the name of the calling node. */
export const NODE_HEADER = 'fireflymount-node'
