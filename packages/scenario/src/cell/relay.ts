/**
 * A TCP relay between two processes, so that tests can make the link between them fail.
 */
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'
import { LinkState } from '../language/syntax-tree.js'

const LOOPBACK = '127.0.0.1'

/** One relayed connection. */
class RelayedConnection {
  /** True if the connection carries no more data, even after the link has become healthy again. */
  stalled = false
  private hasClosedSocket = false

  constructor (
    private readonly clientSocket: Socket, private readonly targetSocket: Socket, private readonly linkState: () => LinkState
  ) {
    this.forward(clientSocket, targetSocket)
    this.forward(targetSocket, clientSocket)
  }

  /** Stops reading from both sockets, so that no data is carried and neither peer sees an error. */
  pause (): void {
    this.clientSocket.pause()
    this.targetSocket.pause()
  }

  /** Carries buffered and new data again. Closes the connection if a peer closed it while it was paused. */
  resume (): void {
    if (this.stalled) return
    if (this.hasClosedSocket) {
      this.close()
      return
    }
    this.clientSocket.resume()
    this.targetSocket.resume()
  }

  close (): void {
    this.clientSocket.destroy()
    this.targetSocket.destroy()
  }

  private forward (from: Socket, to: Socket): void {
    from.on('data', (bytes) => {
      if (!to.write(bytes)) from.pause()
    })
    to.on('drain', () => {
      if (this.isForwarding()) from.resume()
    })
    from.on('end', () => to.end())
    from.on('error', () => {})
    from.on('close', () => {
      this.hasClosedSocket = true
      if (this.isForwarding()) to.destroy()
    })
  }

  private isForwarding (): boolean {
    return !this.stalled && this.linkState() !== LinkState.Silent
  }
}

/** Listens on a port of its own and relays every connection to one address. */
export class Relay {
  private state = LinkState.Healthy
  private connections = new Set<RelayedConnection>()
  private server: Server | undefined
  private port = 0

  /** @param target IP address and port to relay to */
  constructor (private readonly target: string) {}

  /** Starts listening. */
  async open (): Promise<void> {
    await this.listen()
  }

  /** IP address and port to connect to instead of the target. */
  address (): string {
    return `${LOOPBACK}:${this.port}`
  }

  /** Changes the state of the link. */
  async set (state: LinkState): Promise<void> {
    if (state === LinkState.Stalled) {
      for (const connection of this.connections) {
        connection.stalled = true
        connection.pause()
      }
      return
    }
    this.state = state
    if (state === LinkState.Cut) return this.disconnect()
    if (this.server === undefined) await this.listen()
    for (const connection of this.connections) {
      if (state === LinkState.Silent) connection.pause()
      else connection.resume()
    }
  }

  /** Closes every connection and stops listening. */
  async close (): Promise<void> {
    await this.disconnect()
  }

  private async disconnect (): Promise<void> {
    for (const connection of this.connections) connection.close()
    this.connections.clear()
    const server = this.server
    this.server = undefined
    if (server === undefined) return
    await new Promise<void>((resolve) => {
      server.close(() => resolve())
    })
  }

  private listen (): Promise<void> {
    const server = createServer({ allowHalfOpen: true, noDelay: true }, (clientSocket) => this.onConnection(clientSocket))
    this.server = server
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(this.port, LOOPBACK, () => {
        this.port = (server.address() as AddressInfo).port
        resolve()
      })
    })
  }

  private onConnection (clientSocket: Socket): void {
    const [host, port] = this.target.split(':')
    const targetSocket = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
    const connection = new RelayedConnection(clientSocket, targetSocket, () => this.state)
    this.connections.add(connection)
    clientSocket.on('close', () => this.connections.delete(connection))
    if (this.state === LinkState.Silent) connection.pause()
  }
}
