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
  /** Name of this node. Must be equal to the VM's id in the platform's list of VMs. */
  readonly node: string
  readonly zone: string
  readonly region: string
  /** Address of the HTTP API for callers and operators. */
  readonly api: Listener
  /** Address for connections from other daemons. */
  readonly peer: Listener
  readonly platform: Platform
  /** SHA-256 hashes of the administration keys of operators. */
  readonly administrators: readonly string[]
  readonly limits: Limits
  readonly timing: Timing
  readonly log: LogOutput
  /** Address of the StatsD server that receives metrics; absent to send none. */
  readonly metrics?: Listener
}

/** Addresses of the platform's services. */
export interface Platform {
  /** Base URL of the log service. */
  readonly log: string
  /** Base URL of the service that lists the VMs. */
  readonly machines: string
}

/** Limits on what the node accepts from callers. */
export interface Limits {
  readonly bodyBytes: number
  readonly headerBytes: number
  /** Maximum number of open connections. It is lower where the memory or the descriptors of the process do not suffice. */
  readonly connections: number
  /** Requests in progress in the whole node. */
  readonly requests: number
  /** Requests of one connection in progress. With one more, the connection is not read. Absent for the default. */
  readonly requestsPerConnection?: number
  /** Memory for all requests in progress and for answers that callers have not read; absent to derive it from the process. */
  readonly progressBytes?: number
  /** Maximum time in which a request's head arrives, in milliseconds; absent for the default. */
  readonly headMs?: number
  /** Maximum time in which a whole request arrives, in milliseconds; absent for the default. */
  readonly receiveMs?: number
  /** Maximum time for which a caller reads nothing of its answers, in milliseconds; absent for the default. */
  readonly answerMs?: number
}

/** Intervals and timeouts of the protocols between nodes and workers, in milliseconds. */
export interface Timing {
  /** Interval between the pings on a connection, and between the polls of an owner by its standby. */
  readonly heartbeatMs: number
  /** Time without a received frame, ping or pong after which a connection is closed and replaced. */
  readonly silenceMs: number
  /** Time without an answer of the owner after which a standby takes over the shard. */
  readonly takeoverMs: number
  /** Duration of a worker's lease. */
  readonly leaseMs: number
  /** Interval at which an owner renews the leases of its workers. */
  readonly renewMs: number
  /**
   * Maximum time for which an owner may serve requests, start tasks and command its workers after its ownership was last
   * confirmed by the log or by a pledge of a standby.
   */
  readonly confirmationMs: number
  /**
   * Minimum time between the starts of two group commits, to which a jitter is added. It is longer while the log throttles the
   * writer.
   */
  readonly commitMs: number
  /** Age at which the configuration counts as stale, so that queues that need a key refuse work. */
  readonly staleMs: number
  /** Maximum time for which a planned shutdown waits for requests in progress. */
  readonly drainMs: number
}

/** Settings of the diagnostic output of the process, which is not the log service. */
export interface LogOutput {
  readonly level: string
}
