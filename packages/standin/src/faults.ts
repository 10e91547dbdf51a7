/**
 * Fault switches of the stand-in's services, for all nodes or for one.
 */
import { Codec, boolean, number, optional, string, type GetType } from 'purify-ts/Codec'

/** A change of the switches. Absent fields stay as they are. */
export const FaultCodec = Codec.interface({
  /** Applies to the calls of this node only, as named by the header `Fireflymount-Node`. */
  node: optional(string),
  /** Applies to the streams whose name starts with this only. */
  streams: optional(string),
  /** Answers 503. */
  outage: optional(boolean),
  /** Accepts the connection and never answers. */
  hang: optional(boolean),
  /** Delays every call, before it takes effect. */
  slowMs: optional(number),
  /** Number of calls to come that take effect and whose connection breaks without an answer. */
  lostAnswers: optional(number),
  /** Number of calls to come that are refused with 503. */
  refuse: optional(number)
})

/** A change of the switches. */
export type Fault = Partial<GetType<typeof FaultCodec>>

/** What happens to one call. */
export enum Fate {
  Served = 'served',
  Refused = 'refused',
  Hung = 'hung',
  /** Takes effect; the connection breaks. */
  Lost = 'lost'
}

/** The switches in one scope. */
class Switches {
  streams = ''
  outage = false
  hang = false
  slowMs = 0
  lostAnswers = 0
  refuse = 0
}

/** The switches of one service. */
export class Faults {
  private everyone = new Switches()
  private readonly nodes = new Map<string, Switches>()

  /** Changes the switches. */
  set (fault: Fault): void {
    const { node, ...changes } = fault
    const switches = this.scope(node)
    for (const [name, value] of Object.entries(changes)) {
      if (value !== undefined) Object.assign(switches, { [name]: value })
    }
  }

  /** Switches everything off. */
  clear (): void {
    this.everyone = new Switches()
    this.nodes.clear()
  }

  /** @returns the delay of a call */
  delayMs (node: string, stream: string): number {
    let delay = 0
    for (const switches of this.applying(node, stream)) delay += switches.slowMs
    return delay
  }

  /**
   * Decides about one call.
   *
   * @param node the calling node
   * @param stream the stream, or the empty string
   * @param effective true if the call has an effect that an answer can be lost of
   * @returns what happens to it
   */
  decide (node: string, stream: string, effective: boolean): Fate {
    for (const switches of this.applying(node, stream)) {
      if (switches.hang) return Fate.Hung
      if (switches.outage) return Fate.Refused
      if (!effective) continue
      if (switches.refuse > 0) {
        switches.refuse -= 1
        return Fate.Refused
      }
      if (switches.lostAnswers > 0) {
        switches.lostAnswers -= 1
        return Fate.Lost
      }
    }
    return Fate.Served
  }

  private applying (node: string, stream: string): Switches[] {
    const scopes = [this.everyone, this.nodes.get(node)]
    const applying: Switches[] = []
    for (const scope of scopes) {
      if (scope !== undefined && stream.startsWith(scope.streams)) applying.push(scope)
    }
    return applying
  }

  private scope (node: string | undefined): Switches {
    if (node === undefined) return this.everyone
    const known = this.nodes.get(node)
    if (known !== undefined) return known
    const switches = new Switches()
    this.nodes.set(node, switches)
    return switches
  }
}
