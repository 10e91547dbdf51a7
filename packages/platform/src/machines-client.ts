/**
 * The client of the platform's list of VMs.
 */
import { err, ok, type Result } from 'neverthrow'
import { Channel } from './channel.js'
import { Machines, type Vm } from './machines.js'
import { NODE_HEADER, VmsCodec } from './messages.js'
import type { Traffic } from './traffic.js'

const TIMEOUT_MS = 2_000

/** Settings of the client. */
export interface RemoteMachinesOptions {
  /** IP address and port of the service. */
  readonly address: string
  /** Name of this node. */
  readonly node: string
  /** Time for an answer. */
  readonly timeoutMs?: number
}

/** A list with its entity tag. */
interface TaggedList {
  readonly etag: string
  readonly vms: readonly Vm[]
}

/** The list of VMs over HTTP. A service that gives entity tags sends a list that has not changed only once. */
export class RemoteMachines extends Machines {
  private readonly channel: Channel
  private readonly timeoutMs: number
  private last: TaggedList | undefined

  /** @param options settings */
  constructor (options: RemoteMachinesOptions) {
    super()
    this.channel = new Channel(options.address, { connections: 1, headers: { [NODE_HEADER]: options.node } })
    this.timeoutMs = options.timeoutMs ?? TIMEOUT_MS
  }

  async list (): Promise<Result<readonly Vm[], string>> {
    const { last } = this
    const headers = last === undefined ? undefined : { 'if-none-match': last.etag }
    const answer = await this.channel.call({ method: 'GET', path: '/vms', headers, timeoutMs: this.timeoutMs })
    if (answer.isErr()) return err(answer.error.detail)
    const { status, etag, body } = answer.value
    if (status === 304 && last !== undefined) return ok(last.vms)
    if (status !== 200) return err(`The list of VMs answered with status ${status}.`)
    const message = VmsCodec.decode(body)
    if (message.isLeft()) return err(`The list of VMs is malformed: ${String(message.extract())}`)
    const { vms } = message.unsafeCoerce()
    this.last = etag === undefined ? undefined : { etag, vms }
    return ok(vms)
  }

  /** @returns the bytes sent and received so far */
  traffic (): Traffic {
    return this.channel.traffic()
  }

  /** Closes the connection. A call in progress fails. */
  async close (): Promise<void> {
    await this.channel.close()
  }
}
