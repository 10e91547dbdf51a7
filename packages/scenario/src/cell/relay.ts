/**
 * A TCP relay in front of one process for one other process, so that the link between them can fail.
 */
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'
import { Link } from '../language/script.js'

const LOOPBACK = '127.0.0.1'

/** One relayed connection. */
class Passage {
  /** Carries nothing for good. */
  stalled = false
  private ended = false

  constructor (private readonly near: Socket, private readonly far: Socket, private readonly link: () => Link) {
    this.pass(near, far)
    this.pass(far, near)
  }

  /** Stops reading from both ends, so that nothing is carried and neither end notices. */
  pause (): void {
    this.near.pause()
    this.far.pause()
  }

  /** Carries what waited and what comes. */
  resume (): void {
    if (this.stalled) return
    if (this.ended) {
      this.close()
      return
    }
    this.near.resume()
    this.far.resume()
  }

  close (): void {
    this.near.destroy()
    this.far.destroy()
  }

  private pass (from: Socket, to: Socket): void {
    from.on('data', (bytes) => {
      if (!to.write(bytes)) from.pause()
    })
    to.on('drain', () => {
      if (this.carries()) from.resume()
    })
    from.on('end', () => to.end())
    from.on('error', () => {})
    from.on('close', () => {
      this.ended = true
      if (this.carries()) to.destroy()
    })
  }

  private carries (): boolean {
    return !this.stalled && this.link() !== Link.Silence
  }
}

/** Relays connections from one port of its own to one address. */
export class Relay {
  private link = Link.Heal
  private passages = new Set<Passage>()
  private server: Server | undefined
  private port = 0

  /** @param target IP address and port to relay to */
  constructor (private readonly target: string) {}

  /** Starts to listen. */
  async open (): Promise<void> {
    await this.listen()
  }

  /** IP address and port to connect to instead of the target. */
  address (): string {
    return `${LOOPBACK}:${this.port}`
  }

  /** Changes the state of the link. */
  async set (link: Link): Promise<void> {
    if (link === Link.Stall) {
      for (const passage of this.passages) {
        passage.stalled = true
        passage.pause()
      }
      return
    }
    this.link = link
    if (link === Link.Cut) return this.refuse()
    if (this.server === undefined) await this.listen()
    for (const passage of this.passages) {
      if (link === Link.Silence) passage.pause()
      else passage.resume()
    }
  }

  /** Closes every connection and stops listening. */
  async close (): Promise<void> {
    await this.refuse()
  }

  private async refuse (): Promise<void> {
    for (const passage of this.passages) passage.close()
    this.passages.clear()
    const server = this.server
    this.server = undefined
    if (server === undefined) return
    await new Promise<void>((resolve) => {
      server.close(() => resolve())
    })
  }

  private listen (): Promise<void> {
    const server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => this.onConnection(near))
    this.server = server
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(this.port, LOOPBACK, () => {
        this.port = (server.address() as AddressInfo).port
        resolve()
      })
    })
  }

  private onConnection (near: Socket): void {
    const [host, port] = this.target.split(':')
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
    const passage = new Passage(near, far, () => this.link)
    this.passages.add(passage)
    near.on('close', () => this.passages.delete(passage))
    if (this.link === Link.Silence) passage.pause()
  }
}
