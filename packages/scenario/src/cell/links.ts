/**
 * The relays on all links of a cell. Each is keyed by the names of the connecting process and of the process that it connects to,
 * and the address of the latter.
 */
import { LinkState } from '../language/syntax-tree.js'
import { Relay } from './relay.js'

/** Opens a relay on a link when a process first needs it. */
export class Links {
  private readonly relays = new Map<string, Promise<Relay>>()
  private readonly states = new Map<string, LinkState>()

  /**
   * Finds the relay on a link, and opens it if there is none.
   *
   * @param from name of the process that connects
   * @param to name of the process that is connected to
   * @param target IP address and port of the process that is connected to
   * @returns the address to connect to instead
   */
  async route (from: string, to: string, target: string): Promise<string> {
    const name = `${from}>${to}>${target}`
    const existing = this.relays.get(name)
    if (existing !== undefined) return (await existing).address()
    const opening = this.open(from, to, target)
    this.relays.set(name, opening)
    return (await opening).address()
  }

  /** Changes the state of the link between two processes, in both directions. */
  async set (state: LinkState, left: string, right: string): Promise<void> {
    for (const [from, to] of [[left, right], [right, left]] as const) {
      if (state !== LinkState.Stalled) this.states.set(`${from}>${to}`, state)
      for (const [name, relay] of this.relays) {
        if (name.startsWith(`${from}>${to}>`)) await (await relay).set(state)
      }
    }
  }

  /** Closes every relay. */
  async close (): Promise<void> {
    for (const relay of this.relays.values()) await (await relay).close()
    this.relays.clear()
  }

  private async open (from: string, to: string, target: string): Promise<Relay> {
    const relay = new Relay(target)
    await relay.open()
    const state = this.states.get(`${from}>${to}`)
    if (state !== undefined) await relay.set(state)
    return relay
  }
}
