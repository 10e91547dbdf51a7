/**
 * A proxy of the list of VMs for one node. It replaces each VM's address with that of the relay on the link from the node
 * to the VM.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import type { Vm } from '@fireflymount/service-clients/vm-list'

const LOOPBACK = '127.0.0.1'

/** Finds the address that a node uses to reach a VM. */
export type AddressResolver = (vm: Vm) => Promise<string>

/** Serves the list of VMs to one node. */
export class VmListProxy {
  private readonly server: Server

  /**
   * @param platform base URL of the list
   * @param resolveAddress finds the address that the node uses to reach a VM
   */
  constructor (private readonly platform: string, private readonly resolveAddress: AddressResolver) {
    this.server = createServer((incoming, response) => {
      this.serve(incoming, response).catch(() => response.destroy())
    })
  }

  /** Starts listening on a free port. */
  open (): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(0, LOOPBACK, () => resolve())
    })
  }

  /** IP address and port on which the proxy listens. */
  address (): string {
    return `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`
  }

  /** Stops listening and closes every connection. */
  close (): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve())
      this.server.closeAllConnections()
    })
  }

  private async serve (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const node = incoming.headers['fireflymount-node'] ?? ''
    const platformResponse = await request(`${this.platform}${incoming.url}`, { headers: { 'fireflymount-node': node } })
    if (platformResponse.statusCode !== 200) {
      response.writeHead(platformResponse.statusCode, { 'content-type': 'application/json' }).end(await platformResponse.body.text())
      return
    }
    const { vms } = await platformResponse.body.json() as { vms: readonly Vm[] }
    const routed = await Promise.all(vms.map(async (vm) => ({ ...vm, address: await this.resolveAddress(vm) })))
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({ vms: routed }))
  }
}
