/**
 * Limits on what the clients of a node's servers may hold of it. They follow from the memory and the descriptors of its machine.
 */

import { JOBS_SHARE, RESERVED_MB } from '../place/backlog.js'

/** A server of the node. */
export enum Endpoint {
  Callers = 'callers',
  Readiness = 'readiness',
  Metrics = 'metrics',
  /** Connections of other nodes. */
  Nodes = 'nodes'
}

/** Limits of one server. */
export interface EntryLimits {
  /** Maximum number of open connections. */
  readonly connections: number
  /** Maximum number of connections that the kernel completes, with what their clients send, before they are accepted. */
  readonly listenBacklog: number
  /** Requests of one connection in progress from which on the connection is not read. */
  readonly requestsPerConnection: number
  /** Maximum estimated memory in bytes of all requests in progress and of the answers that clients have not read. */
  readonly bytes: number
  /** Maximum size in bytes of a request's body. */
  readonly bodyBytes: number
  /** Maximum size in bytes of a request's head. */
  readonly headBytes: number
  /** Maximum time in milliseconds in which a request's head arrives. */
  readonly headMs: number
  /** Maximum time in milliseconds in which a request's body arrives after its head. */
  readonly bodyMs: number
  /** Time in milliseconds for which a client reads nothing of an answer until it counts as one that does not read. */
  readonly stallMs: number
  /** Maximum time in milliseconds for which a client reads nothing of an answer. */
  readonly answerMs: number
  /** Time in seconds after which a client may return for whom there was no room. */
  readonly retryAfterS: number
  /** Size in bytes up to which the rest of a refused request's body is read. With a larger rest the connection is closed. */
  readonly discardBytes: number
  /** Bytes that the kernel may hold for a connection that is not read. They count as memory of the process. */
  readonly receiveBufferBytes: number
  /** Time in milliseconds for which a connection that is not read any more stays open, so that the client receives its answer. */
  readonly lingerMs: number
}

/** Limits that the operator sets; those that are absent follow from the machine. */
export interface EntrySettings extends Partial<EntryLimits> {
  /** Maximum number of connections of other nodes. */
  readonly nodeConnections?: number | undefined
}

/** What the machine lets the process use; undefined where it is unknown. */
export interface MachineResources {
  readonly memoryMb?: number | undefined
  readonly maxDescriptors?: number | undefined
}

const DEFAULT_MEMORY_MB = 512
const DEFAULT_DESCRIPTORS = 4096
/** Descriptors that are not sockets. */
const FILE_DESCRIPTORS = 200
const MIN_CONNECTIONS = 16
/**
 * Parts of the sockets. All other nodes may connect to the owner. The rest is for the connections that the node itself opens: to the
 * store, to workers, to the advisor and to the machine service.
 */
const CALLER_SOCKETS = 1 / 2
const NODE_SOCKETS = 3 / 8
/** Parts of the memory for callers' requests and for their connections. The rest is for the node's state and its heap. */
const REQUEST_MEMORY = 1 / 8
/** Thousands of ordinary requests. Memory beyond it is worth more to the backlog. */
const MAX_REQUEST_MB = 48
const MIN_REQUEST_MB = 4
/** Part of the heap beyond what is reserved that is left if a former owner holds all jobs twice. */
const REQUEST_HEAP = 1 - 2 * JOBS_SHARE
const CONNECTION_MEMORY = 1 / 8
/** Parts of the memory for what the kernel holds for connections before they are accepted. */
const CALLER_BACKLOG_MEMORY = 1 / 8
const NODE_BACKLOG_MEMORY = 1 / 16
const MAX_LISTEN_BACKLOG = 511
/** Estimated memory of an open connection. */
const CONNECTION_BYTES = 16_384
const MEGABYTE = 1024 * 1024

const REFUSAL_DEFAULTS = { retryAfterS: 1, discardBytes: 16_384, receiveBufferBytes: 131_072, lingerMs: 1000 }
const CALLER_DEFAULTS = {
  ...REFUSAL_DEFAULTS,
  requestsPerConnection: 8,
  bodyBytes: 262_144,
  headBytes: 16_384,
  headMs: 60_000,
  bodyMs: 60_000,
  stallMs: 1000,
  answerMs: 30_000
}
/** Limits of servers whose clients send no bodies and read short answers. */
const PROBE_LIMITS: EntryLimits = {
  ...REFUSAL_DEFAULTS,
  connections: 32,
  listenBacklog: 32,
  requestsPerConnection: 1,
  bytes: MEGABYTE,
  bodyBytes: 0,
  headBytes: 4096,
  headMs: 60_000,
  bodyMs: 1000,
  stallMs: 1000,
  answerMs: 30_000,
  // There are few such connections.
  receiveBufferBytes: 0
}

/**
 * Derives the limits of a server.
 *
 * @param endpoint the server
 * @param machine what the process may use
 * @param settings limits of the callers' server, and the number of other nodes' connections, that are set by the operator
 */
export function limitsOf (endpoint: Endpoint, machine: MachineResources, settings: EntrySettings = {}): EntryLimits {
  const memoryBytes = (machine.memoryMb ?? DEFAULT_MEMORY_MB) * MEGABYTE
  const sockets = (machine.maxDescriptors ?? DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS
  const { nodeConnections, ...callerSettings } = settings
  switch (endpoint) {
    case Endpoint.Callers: {
      const byMemory = memoryBytes * CONNECTION_MEMORY / CONNECTION_BYTES
      return {
        ...CALLER_DEFAULTS,
        connections: connectionsOf(Math.min(sockets * CALLER_SOCKETS, byMemory)),
        listenBacklog: connectionsIn(memoryBytes * CALLER_BACKLOG_MEMORY),
        bytes: requestBytesOf(memoryBytes),
        ...definedOf(callerSettings)
      }
    }
    case Endpoint.Nodes: return {
      ...PROBE_LIMITS,
      connections: nodeConnections ?? connectionsOf(sockets * NODE_SOCKETS),
      listenBacklog: connectionsIn(memoryBytes * NODE_BACKLOG_MEMORY)
    }
    default: return PROBE_LIMITS
  }
}

/** Most of what requests take is in the heap, which is smaller than the memory. */
function requestBytesOf (memoryBytes: number): number {
  const heapBytes = (memoryBytes - RESERVED_MB * MEGABYTE) * REQUEST_HEAP
  const bytes = Math.min(memoryBytes * REQUEST_MEMORY, heapBytes, MAX_REQUEST_MB * MEGABYTE)
  return Math.floor(Math.max(bytes, MIN_REQUEST_MB * MEGABYTE))
}

/** Leaves out the limits that are not set. */
function definedOf (settings: Partial<EntryLimits>): Partial<EntryLimits> {
  return Object.fromEntries(Object.entries(settings).filter(([, value]) => value !== undefined))
}

function connectionsOf (count: number): number {
  return Math.max(MIN_CONNECTIONS, Math.floor(count))
}

/** Returns how many connections may wait to be accepted if the kernel may hold so many bytes for them. */
function connectionsIn (bytes: number): number {
  return Math.min(MAX_LISTEN_BACKLOG, Math.max(MIN_CONNECTIONS, Math.floor(bytes / REFUSAL_DEFAULTS.receiveBufferBytes)))
}
