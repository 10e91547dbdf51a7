/**
 * The list of VMs as one node sees it: every address is that of a relay on the link from this node to that VM.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import type { Vm } from '@fireflymount/platform/machines'

const LOOPBACK = '127.0.0.1'

/** Finds the address under which a node reaches a VM. */
export type Route = (vm: Vm) => Promise<string>

/** Serves the list to one node. */
export class Front {
  private readonly server: Server

  /**
   * @param platform base URL of the list
   * @param route finds the address of a VM
   */
  constructor (private readonly platform: string, private readonly route: Route) {
    this.server = createServer((incoming, answer) => {
      this.serve(incoming, answer).catch(() => answer.destroy())
    })
  }

  /** Starts to listen. */
  open (): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(0, LOOPBACK, () => resolve())
    })
  }

  /** IP address and port. */
  address (): string {
    return `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`
  }

  /** Stops to listen and closes every connection. */
  close (): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve())
      this.server.closeAllConnections()
    })
  }

  private async serve (incoming: IncomingMessage, answer: ServerResponse): Promise<void> {
    const node = incoming.headers['fireflymount-node'] ?? ''
    const original = await request(`${this.platform}${incoming.url}`, { headers: { 'fireflymount-node': node } })
    if (original.statusCode !== 200) {
      answer.writeHead(original.statusCode, { 'content-type': 'application/json' }).end(await original.body.text())
      return
    }
    const { vms } = await original.body.json() as { vms: readonly Vm[] }
    const routed = await Promise.all(vms.map(async (vm) => ({ ...vm, address: await this.route(vm) })))
    answer.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({ vms: routed }))
  }
}
