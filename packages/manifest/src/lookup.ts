/**
 * Finds objects of a manifest by name, with indexes that are built once per revision.
 */
import type { Manifest, Queue, Service, Upstream } from './manifest.js'

/** Indexes of one manifest. */
interface Index {
  readonly queues: ReadonlyMap<string, Queue>
  readonly services: ReadonlyMap<string, Service>
  readonly servicesByUpstream: ReadonlyMap<string, readonly Service[]>
  readonly upstreams: ReadonlyMap<string, Upstream>
}

const indexes = new WeakMap<Manifest, Index>()

/**
 * Finds a queue.
 *
 * @param manifest the manifest of a revision, which must not be modified
 * @param name the queue's name
 * @returns the queue, or undefined if there is none
 *
 * @example
 * findQueue(configuration.current().manifest, 'preview')
 */
export function findQueue (manifest: Manifest, name: string): Queue | undefined {
  return getIndex(manifest).queues.get(name)
}

/**
 * Finds a service.
 *
 * @param manifest the manifest of a revision, which must not be modified
 * @param name the service's name
 * @returns the service, or undefined if there is none
 *
 * @example
 * findService(configuration.current().manifest, 'ledger-keeper')
 */
export function findService (manifest: Manifest, name: string): Service | undefined {
  return getIndex(manifest).services.get(name)
}

/**
 * Lists the services of an upstream.
 *
 * @param manifest the manifest of a revision, which must not be modified
 * @param upstream the upstream's name
 * @returns the services
 *
 * @example
 * for (const service of listServices(manifest, 'bee-planner')) start(service)
 */
export function listServices (manifest: Manifest, upstream: string): readonly Service[] {
  return getIndex(manifest).servicesByUpstream.get(upstream) ?? []
}

/**
 * Finds an upstream.
 *
 * @param manifest the manifest of a revision, which must not be modified
 * @param name the upstream's name
 * @returns the upstream, or undefined if there is none
 *
 * @example
 * findUpstream(configuration.current().manifest, 'bee-planner')?.zones
 */
export function findUpstream (manifest: Manifest, name: string): Upstream | undefined {
  return getIndex(manifest).upstreams.get(name)
}

function getIndex (manifest: Manifest): Index {
  const existing = indexes.get(manifest)
  if (existing !== undefined) return existing
  const servicesByUpstream = new Map<string, Service[]>()
  for (const service of manifest.services) {
    const services = servicesByUpstream.get(service.upstream)
    if (services === undefined) servicesByUpstream.set(service.upstream, [service])
    else services.push(service)
  }
  const index = {
    queues: new Map(manifest.queues.map((queue) => [queue.name, queue])),
    services: new Map(manifest.services.map((service) => [service.name, service])),
    servicesByUpstream,
    upstreams: new Map(manifest.upstreams.map((upstream) => [upstream.name, upstream]))
  }
  indexes.set(manifest, index)
  return index
}
