/**
 * Limits on what clients may hold of a node. They follow from the settings and from the resources of the process.
 */
import type { Limits } from '@fireflymount/manifest/settings'
import type { MachineResources } from './machine.js'

/** Limits of the API. */
export interface EntryLimits {
  /** Maximum number of open connections. */
  readonly connections: number
  /** Requests of one connection in progress. With one more, the connection is not read. */
  readonly requestsPerConnection: number
  /** Maximum estimated memory in bytes of all requests in progress and of the answers that clients have not read. */
  readonly progressBytes: number
  /** Maximum size in bytes of a request's body. */
  readonly bodyBytes: number
  /** Maximum size in bytes of a request's head. */
  readonly headerBytes: number
  /** Maximum time in milliseconds in which a request's head arrives. */
  readonly headMs: number
  /** Maximum time in milliseconds in which a whole request arrives. */
  readonly receiveMs: number
  /** Maximum time in milliseconds for which a client reads nothing of its answers. */
  readonly answerMs: number
}

const DEFAULTS = { requestsPerConnection: 8, headMs: 10_000, receiveMs: 30_000, answerMs: 30_000 }
const DEFAULT_DESCRIPTORS = 4096
/** Descriptors that are not sockets. */
const FILE_DESCRIPTORS = 200
/** Parts of the sockets. The rest is for the connections that the node itself opens. */
const CALLER_SOCKETS = 5 / 8
const NODE_SOCKETS = 1 / 4
const MIN_CONNECTIONS = 16
/** Part of the memory for requests in progress, and the part for open connections. */
const REQUEST_MEMORY = 1 / 4
const CONNECTION_MEMORY = 1 / 8
/** Estimated memory of an open connection. */
const CONNECTION_BYTES = 16_384

/**
 * Derives the limits of the API.
 *
 * @param settings the limits in the settings; the connections are fewer if the machine has no room for them
 * @param machine the resources of the process
 * @returns the limits
 *
 * @example
 * const limits = limitsOfApi(settings.limits, readMachine())
 */
export function limitsOfApi (settings: Limits, machine: MachineResources): EntryLimits {
  const byMemory = machine.memoryBytes * CONNECTION_MEMORY / CONNECTION_BYTES
  const room = atLeastMinimum(Math.min(socketsOf(machine) * CALLER_SOCKETS, byMemory))
  return {
    connections: Math.min(settings.connections, room),
    requestsPerConnection: settings.requestsPerConnection ?? DEFAULTS.requestsPerConnection,
    progressBytes: settings.progressBytes ?? Math.floor(machine.memoryBytes * REQUEST_MEMORY),
    bodyBytes: settings.bodyBytes,
    headerBytes: settings.headerBytes,
    headMs: settings.headMs ?? DEFAULTS.headMs,
    receiveMs: settings.receiveMs ?? DEFAULTS.receiveMs,
    answerMs: settings.answerMs ?? DEFAULTS.answerMs
  }
}

/**
 * Derives how many connections other nodes may open.
 *
 * @param machine the resources of the process
 * @returns the maximum number of open connections
 */
export function connectionsOfNodes (machine: MachineResources): number {
  return atLeastMinimum(socketsOf(machine) * NODE_SOCKETS)
}

function socketsOf ({ descriptors = DEFAULT_DESCRIPTORS }: MachineResources): number {
  return descriptors - FILE_DESCRIPTORS
}

function atLeastMinimum (count: number): number {
  return Math.max(MIN_CONNECTIONS, Math.floor(count))
}
