/**
 * The client of the platform's list of VMs.
 */
import { err, ok, type Result } from 'neverthrow'
import { Channel } from './channel.js'
import { VmList, type Vm } from './vm-list.js'
import { NODE_HEADER, VmsCodec } from './messages.js'
import type { ByteCounts } from './byte-counts.js'

const LIST_TIMEOUT_MS = 2_000

/** Options of the client. */
export interface RemoteVmListOptions {
  /** IP address and port of the service. */
  readonly address: string
  /** Name of this node. */
  readonly node: string
  /** Timeout of a call. */
  readonly timeoutMs?: number
}

/** A list with its entity tag. */
interface TaggedList {
  readonly etag: string
  readonly vms: readonly Vm[]
}

/** The list of VMs over HTTP. If the service supports entity tags, an unchanged list is not transferred again. */
export class RemoteVmList extends VmList {
  private readonly channel: Channel
  private readonly timeoutMs: number
  private cached: TaggedList | undefined

  /** @param options address, node and timeout */
  constructor (options: RemoteVmListOptions) {
    super()
    this.channel = new Channel(options.address, { connections: 1, headers: { [NODE_HEADER]: options.node } })
    this.timeoutMs = options.timeoutMs ?? LIST_TIMEOUT_MS
  }

  async list (): Promise<Result<readonly Vm[], string>> {
    const { cached } = this
    const headers = cached === undefined ? undefined : { 'if-none-match': cached.etag }
    const response = await this.channel.call({ method: 'GET', path: '/vms', headers, timeoutMs: this.timeoutMs })
    if (response.isErr()) return err(response.error.detail)
    const { status, etag, body } = response.value
    if (status === 304 && cached !== undefined) return ok(cached.vms)
    if (status !== 200) return err(`The list of VMs returned status ${status}.`)
    const message = VmsCodec.decode(body)
    if (message.isLeft()) return err(`The list of VMs is malformed: ${String(message.extract())}`)
    const { vms } = message.unsafeCoerce()
    this.cached = etag === undefined ? undefined : { etag, vms }
    return ok(vms)
  }

  /** @returns the bytes sent and received so far */
  traffic (): ByteCounts {
    return this.channel.traffic()
  }

  /** Closes the connection. A call in flight fails. */
  async close (): Promise<void> {
    await this.channel.close()
  }
}
