/**
 * Settings of one daemon, read once from a JSON file.
 */

/** An IP address and a port to listen on. */
export interface Listener {
  readonly host: string
  readonly port: number
}

/** Settings of a daemon. */
export interface Settings {
  /** Name of this node; equals the VM's id in the platform's list. */
  readonly node: string
  readonly zone: string
  readonly region: string
  /** Callers' and operators' HTTP API. */
  readonly api: Listener
  /** Inner protocol. */
  readonly peer: Listener
  readonly platform: Platform
  /** SHA-256 hashes of the operators' administration keys. */
  readonly administrators: readonly string[]
  readonly limits: Limits
  readonly timing: Timing
  readonly log: LogOutput
  readonly metrics?: Listener
}

/** Where the platform's services answer. */
export interface Platform {
  /** Base URL of the log service. */
  readonly log: string
  /** Base URL of the list of VMs. */
  readonly machines: string
}

/** Bounds on what the node takes from callers. */
export interface Limits {
  readonly bodyBytes: number
  readonly headerBytes: number
  readonly connections: number
  /** Requests in progress in the whole node. */
  readonly requests: number
}

/** Times of the protocols between nodes and workers. All in milliseconds. */
export interface Timing {
  readonly heartbeatMs: number
  /** Silence after which a connection is replaced. */
  readonly silenceMs: number
  /** Silence after which a standby takes the shard over. */
  readonly takeoverMs: number
  readonly leaseMs: number
  readonly renewMs: number
  /** Longest time that an owner acts on its last confirmation. */
  readonly confirmationMs: number
  /** Longest time between group commits. */
  readonly commitMs: number
  /** Age of the configuration after which keyed queues are closed. */
  readonly staleMs: number
  /** Longest time that a planned stop waits for requests in progress. */
  readonly drainMs: number
}

/** Where log lines go. */
export interface LogOutput {
  readonly level: string
}
