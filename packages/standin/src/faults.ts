/**
 * Injected faults of the services that the stand-in provides, for all nodes or for one.
 */
import { Codec, boolean, number, optional, string, type GetType } from 'purify-ts/Codec'

/** A change of the injected faults. Fields that are absent do not change. */
export const FaultCodec = Codec.interface({
  /** Limits the change to calls of this node, as named by the header `Fireflymount-Node`. */
  node: optional(string),
  /**
   * Prefix of the names of the streams that the faults apply to. With `node` it limits the faults of that node,
   * otherwise the faults for all nodes. It applies to faults set before or later, until the faults are cleared.
   */
  streams: optional(string),
  /** Responds with status 503. */
  outage: optional(boolean),
  /** Accepts connections and never responds. */
  hang: optional(boolean),
  /** Delays every call, before it takes effect. */
  slowMs: optional(number),
  /** Number of the next appends that take effect but whose connection is closed without a response. */
  lostAnswers: optional(number),
  /** Number of the next appends that are refused with status 503. */
  refuse: optional(number)
})

/** A change of the injected faults. */
export type Fault = Partial<GetType<typeof FaultCodec>>

/** The outcome of one call. */
export enum CallOutcome {
  Served = 'served',
  Refused = 'refused',
  Hung = 'hung',
  /** The call takes effect, and its connection is closed without a response. */
  Lost = 'lost'
}

/** The faults for all nodes or for one node. */
class FaultSettings {
  streams = ''
  outage = false
  hang = false
  slowMs = 0
  lostAnswers = 0
  refuse = 0
}

/** The injected faults of one service. */
export class Faults {
  private allNodes = new FaultSettings()
  private readonly nodes = new Map<string, FaultSettings>()

  /** Changes the faults. */
  set (fault: Fault): void {
    const { node, ...changes } = fault
    const settings = this.settingsOf(node)
    for (const [name, value] of Object.entries(changes)) {
      if (value !== undefined) Object.assign(settings, { [name]: value })
    }
  }

  /** Removes all faults. */
  clear (): void {
    this.allNodes = new FaultSettings()
    this.nodes.clear()
  }

  /** @returns the delay of a call */
  delayMs (node: string, stream: string): number {
    let delay = 0
    for (const settings of this.matching(node, stream)) delay += settings.slowMs
    return delay
  }

  /**
   * Determines the outcome of one call, and counts down the faults that apply to a number of calls.
   *
   * @param node the calling node
   * @param stream the stream, or the empty string
   * @param hasEffect whether the call has an effect; the counted faults apply only to such calls
   * @returns the outcome
   */
  decide (node: string, stream: string, hasEffect: boolean): CallOutcome {
    for (const settings of this.matching(node, stream)) {
      if (settings.hang) return CallOutcome.Hung
      if (settings.outage) return CallOutcome.Refused
      if (!hasEffect) continue
      if (settings.refuse > 0) {
        settings.refuse -= 1
        return CallOutcome.Refused
      }
      if (settings.lostAnswers > 0) {
        settings.lostAnswers -= 1
        return CallOutcome.Lost
      }
    }
    return CallOutcome.Served
  }

  private matching (node: string, stream: string): FaultSettings[] {
    const scopes = [this.allNodes, this.nodes.get(node)]
    const matching: FaultSettings[] = []
    for (const scope of scopes) {
      if (scope !== undefined && stream.startsWith(scope.streams)) matching.push(scope)
    }
    return matching
  }

  private settingsOf (node: string | undefined): FaultSettings {
    if (node === undefined) return this.allNodes
    const existing = this.nodes.get(node)
    if (existing !== undefined) return existing
    const settings = new FaultSettings()
    this.nodes.set(node, settings)
    return settings
  }
}
