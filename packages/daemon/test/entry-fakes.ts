/**
 * Fakes of the components that the HTTP API uses, and a harness that sends requests to it.
 */
import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { Measure, type Manifest, type Queue } from '@fireflymount/manifest/manifest'
import { JobState } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { Clock } from '@fireflymount/service-clients/clock'
import { Configuration, type Revision } from '../src/configuration/configuration.js'
import { Metrics } from '../src/metrics.js'
import { createApi } from '../src/entry/api.js'
import { Lifecycle } from '../src/entry/lifecycle.js'
import { Router } from '../src/peer/router.js'
import type { Delta } from '@fireflymount/manifest/delta'
import type { Settings } from '@fireflymount/manifest/settings'
import type { RecordsPage, Job, Request } from '@fireflymount/protocol/message'
import type { ApiOptions } from '../src/entry/api-context.js'
import type { Usage } from '../src/entry/usage.js'

export const GUILD_SECRET = 'guild-secret-4711'
export const CIRCLE_SECRET = 'circle-secret-4712'
export const ADMINISTRATOR_SECRET = 'operator-secret-4713'
export const GUILD_AUTHORIZATION = `Bearer shop.${GUILD_SECRET}`
export const CIRCLE_AUTHORIZATION = `Bearer sashiko.${CIRCLE_SECRET}`
export const ADMINISTRATOR_AUTHORIZATION = `Bearer ${ADMINISTRATOR_SECRET}`

export function hash (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

export function createQueue (change: Partial<Queue>): Queue {
  return {
    name: 'preview',
    upstream: 'bee-planner',
    workload: Workload.Request,
    open: false,
    teams: ['guild'],
    idempotent: true,
    urgency: Urgency.Urgent,
    size: { cpuMilli: 500, memoryMb: 512, accelerators: 0 },
    runtimeMs: 20,
    deadlineMs: 800,
    capacity: 100,
    attempts: 2,
    checkpoint: false,
    ...change
  }
}

export function createManifest (): Manifest {
  const notIdempotent = { idempotent: false, attempts: 1 }
  return {
    workspaces: [{ name: 'hakata' }],
    upstreams: ['bee-planner', 'cloth-studio'].map((name) => ({ name, zones: ['fukuoka'], weights: { waiting: 1, share: 1, packing: 1 } })),
    teams: ['guild', 'circle'].map((name) => ({ name, workspace: 'hakata', share: 1, upperLimit: {} })),
    keys: [
      { name: 'shop', team: 'guild', hash: hash(GUILD_SECRET) },
      { name: 'sashiko', team: 'circle', hash: hash(CIRCLE_SECRET) }
    ],
    queues: [
      createQueue({}),
      createQueue({ name: 'lookup', open: true }),
      createQueue({ name: 'booking', ...notIdempotent }),
      createQueue({ name: 'yardage', workload: Workload.Batch, deadlineMs: 0 }),
      createQueue({ name: 'render', upstream: 'cloth-studio', workload: Workload.Batch, ...notIdempotent }),
      createQueue({ name: 'drift', workload: Workload.Gang })
    ],
    services: [],
    objectives: [{ name: 'fast-preview', queue: 'preview', measure: Measure.Waiting, target: 0.999, withinMs: 100 }]
  }
}

export class FakeConfiguration extends Configuration {
  revision = 41
  manifest = createManifest()
  age = 0
  readonly changes = new Map<string, number>()
  readonly published: Delta[] = []
  outcome: Result<Revision, Refusal> = ok({ revision: 42, manifest: this.manifest })

  current (): Revision {
    return { revision: this.revision, manifest: this.manifest }
  }

  changedAt (section: string, name: string): number | undefined {
    return this.changes.get(`${section}/${name}`)
  }

  ageMs (): number {
    return this.age
  }

  onRevision (): void {}

  async publish (delta: Delta): Promise<Result<Revision, Refusal>> {
    this.published.push(delta)
    return this.outcome
  }

  recordsFrom (): RecordsPage {
    return { records: [], next: 0 }
  }

  async run (): Promise<void> {}
}

/** One request that the router received. */
export interface Asked {
  readonly shard: string
  readonly request: Request
  readonly timeoutMs: number
}

export class FakeRouter extends Router {
  readonly asked: Asked[] = []
  answer: (request: Request, shard: string) => Promise<Result<unknown, Refusal>> = async () => ok({ blocks: 9 })

  askOwner (shard: string, request: Request, timeoutMs: number): Promise<Result<unknown, Refusal>> {
    this.asked.push({ shard, request, timeoutMs })
    return this.answer(request, shard)
  }

  async askNode (): Promise<Result<unknown, Refusal>> {
    return err(refuse(Reason.NoOwner, 'not used'))
  }

  nodes (): readonly string[] {
    return ['node-1', 'node-2']
  }
}

export class FakeMetrics extends Metrics {
  readonly names: string[] = []
  count (name: string): void {
    this.names.push(name)
  }

  timing (name: string): void {
    this.names.push(name)
  }

  gauge (): void {}
}

export class FakeClock extends Clock {
  ms = 0
  now (): number {
    return this.ms
  }

  wall (): number {
    return this.ms
  }
}

export function createSettings (): Settings {
  return {
    node: 'node-1',
    zone: 'fukuoka',
    region: 'kyushu',
    api: { host: '127.0.0.1', port: 0 },
    peer: { host: '127.0.0.1', port: 0 },
    platform: { log: '', machines: '' },
    administrators: [hash(ADMINISTRATOR_SECRET)],
    limits: { bodyBytes: 2000, headerBytes: 4096, connections: 100, requests: 20 },
    timing: {
      heartbeatMs: 100,
      silenceMs: 300,
      takeoverMs: 500,
      leaseMs: 1000,
      renewMs: 300,
      confirmationMs: 500,
      commitMs: 20,
      staleMs: 4000,
      drainMs: 1200
    },
    log: { level: 'silent' }
  }
}

/** Request headers; undefined ones are omitted. */
type RequestHeaders = Readonly<Record<string, string | undefined>>

export const USAGE: Usage = {
  control: {
    peers: { sent: 1, received: 2 },
    log: { sent: 3, received: 4 },
    machines: { sent: 5, received: 6 },
    workers: { sent: 7, received: 8 }
  },
  requests: { peers: { sent: 9, received: 10 }, workers: { sent: 11, received: 12 } },
  frames: { sent: 13, received: 14 },
  appends: 15,
  owned: ['bee-planner'],
  counters: { 'shard.claimed': 1 }
}

export interface ApiHarness {
  readonly options: ApiOptions
  readonly configuration: FakeConfiguration
  readonly router: FakeRouter
  readonly metrics: FakeMetrics
  readonly clock: FakeClock
  request (method: string, path: string, headers?: RequestHeaders, body?: unknown): Promise<Response>
}

export function createHarness (): ApiHarness {
  const configuration = new FakeConfiguration()
  const router = new FakeRouter()
  const metrics = new FakeMetrics()
  const clock = new FakeClock()
  const lifecycle = new Lifecycle()
  lifecycle.serve()
  const logger = { warn: () => {} }
  const settings = createSettings()
  const options: ApiOptions = { configuration, router, metrics, clock, lifecycle, logger, settings, usage: () => USAGE }
  const api = createApi(options)
  return {
    options,
    configuration,
    router,
    metrics,
    clock,
    request: async (method, path, headers = {}, body) => {
      const text = typeof body === 'string' ? body : JSON.stringify(body)
      const allHeaders = new Headers(body === undefined ? {} : { 'content-type': 'application/json' })
      for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined) allHeaders.set(name, value)
      }
      return await api.request(path, { method, headers: allHeaders, body: text })
    }
  }
}

export function createJob (change: Partial<Job> = {}): Job {
  return {
    job: 'bee-planner.0123',
    queue: 'yardage',
    team: 'guild',
    state: JobState.Waiting,
    tasks: 1,
    attempts: 0,
    acceptedMs: 5,
    endedMs: undefined,
    result: undefined,
    detail: undefined,
    ...change
  }
}
