/**
 * One node: creates the components of the daemon and connects them.
 */
import { setMaxListeners } from 'node:events'
import { SystemClock, sleep } from '@fireflymount/service-clients/clock'
import { RemoteLog } from '@fireflymount/service-clients/log-client'
import { RemoteVmList } from '@fireflymount/service-clients/vm-list-client'
import { findUpstream } from '@fireflymount/manifest/lookup'
import type { Settings } from '@fireflymount/manifest/settings'
import { MessageKind, RecordsPageCodec, type RecordsPage, type Request } from '@fireflymount/protocol/message'
import type { Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'
import { ReplicatedConfiguration } from './configuration/replicated-configuration.js'
import { askFreshest } from './configuration/freshest.js'
import { InMemoryMetrics } from './metrics.js'
import { Lifecycle } from './entry/lifecycle.js'
import { serveApi, type ApiService } from './entry/server.js'
import type { Usage } from './entry/usage.js'
import { Members } from './membership/members.js'
import { Peers } from './peer/peers.js'
import { Roles } from './owner/roles.js'
import { WorkerConnections } from './worker-connections.js'
import { stopProcess } from './stop-process.js'

const RECORDS_TIMEOUT_MS = 1000
const SHUTDOWN_POLL_INTERVAL_MS = 50
const START_POLL_INTERVAL_MS = 10
/** Longest wait for the configuration at startup; after it, the API is served without one. */
const CONFIGURATION_TIMEOUT_MS = 3000

/** A running node. */
export class Node {
  private readonly stop = new AbortController()
  private readonly clock = new SystemClock()
  private readonly metrics: InMemoryMetrics
  private readonly log: RemoteLog
  private readonly machines: RemoteVmList
  private readonly workers = new WorkerConnections()
  private readonly members: Members
  private readonly peers: Peers
  private readonly configuration: ReplicatedConfiguration
  private readonly roles: Roles
  private readonly lifecycle = new Lifecycle()
  private service: ApiService | undefined

  constructor (private readonly settings: Settings, private readonly logger: Logger) {
    const { platform, node } = settings
    // Every background task of the node listens to this one signal; their number exceeds the default limit.
    setMaxListeners(0, this.stop.signal)
    const log = new RemoteLog({ address: addressOf(platform.log), node })
    this.log = log
    this.machines = new RemoteVmList({ address: addressOf(platform.machines), node })
    this.metrics = new InMemoryMetrics(node, settings.metrics)
    this.members = new Members(this.machines, this.clock)
    this.peers = new Peers({
      settings,
      members: this.members,
      metrics: this.metrics,
      logger,
      clock: this.clock,
      zonesOf: (shard) => this.zonesOf(shard),
      handler: (request) => this.handle(request),
      onHandlerError: ({ kind, from, error }) => { logger.error({ kind, from, err: error }, 'request of a node failed') }
    })
    this.configuration = new ReplicatedConfiguration({
      log,
      clock: this.clock,
      askPeers: (from) => this.askPeers(from),
      askAllNodes: (from) => this.askAllNodes(from),
      isSnapshotWriter: () => this.isSnapshotWriter()
    })
    this.roles = new Roles({
      settings,
      log,
      members: this.members,
      router: this.peers,
      manifest: () => this.configuration.current().manifest,
      connect: (vm) => this.workers.connect(vm.address),
      clock: this.clock,
      metrics: this.metrics,
      logger
    })
  }

  /**
   * Starts all components. Returns the API service, or a sentence that explains why the node cannot listen for its peers. Rejects if
   * the API address cannot be bound.
   */
  async start (): Promise<Result<ApiService, string>> {
    const listening = await this.peers.listen()
    if (listening.isErr()) return err(listening.error)
    await this.members.poll()
    this.members.run(this.stop.signal).catch(stopProcess)
    this.configuration.onRevision(({ manifest }) => { this.roles.setManifest(manifest) })
    this.configuration.run(this.stop.signal).catch(stopProcess)
    await this.awaitConfiguration()
    this.service = await serveApi({
      configuration: this.configuration,
      router: this.peers,
      metrics: this.metrics,
      settings: this.settings,
      clock: this.clock,
      lifecycle: this.lifecycle,
      logger: this.logger,
      usage: () => this.usage()
    })
    this.lifecycle.serve()
    this.logger.info({ api: this.service.address, peer: this.settings.peer }, 'node started')
    return ok(this.service)
  }

  /**
   * Shuts down gracefully: hands its shards over, finishes requests in progress, then closes all connections. Requests in
   * progress are those at the API and those at shards that this node still owns.
   */
  async shutDown (): Promise<void> {
    this.logger.info({ owned: this.roles.owned() }, 'graceful shutdown started')
    const closing = this.service?.close()
    await this.roles.handOver()
    this.peers.leave()
    const forciblyClosed = await closing
    await this.awaitRequestsInProgress()
    this.stop.abort()
    this.roles.stop()
    this.peers.close()
    await this.metrics.close()
    this.logger.info({ cut: forciblyClosed ?? 0 }, 'node stopped')
  }

  private usage (): Usage {
    const frames = this.peers.traffic()
    const bytes = this.peers.bytes()
    const requests = { sent: frames.requestBytesSent, received: frames.requestBytesReceived }
    return {
      control: {
        peers: { sent: bytes.sent - requests.sent, received: bytes.received - requests.received },
        log: this.log.traffic(),
        machines: this.machines.traffic(),
        workers: this.workers.traffic()
      },
      requests: { peers: requests, workers: this.workers.requestTraffic() },
      frames: { sent: frames.framesSent, received: frames.framesReceived },
      appends: this.log.appendCount(),
      owned: this.roles.owned(),
      counters: this.metrics.snapshot()
    }
  }

  /** Waits for a first configuration, up to a timeout: the API starts even if neither the log nor a peer responds. */
  private async awaitConfiguration (): Promise<void> {
    const endMs = this.clock.now() + CONFIGURATION_TIMEOUT_MS
    while (!Number.isFinite(this.configuration.ageMs()) && this.clock.now() < endMs) await sleep(START_POLL_INTERVAL_MS)
  }

  private async awaitRequestsInProgress (): Promise<void> {
    const endMs = this.clock.now() + this.settings.timing.drainMs
    while (this.roles.requestsInProgress() > 0 && this.clock.now() < endMs) await sleep(SHUTDOWN_POLL_INTERVAL_MS)
  }

  private async handle (request: Request): Promise<Result<unknown, Refusal>> {
    if (request.kind === MessageKind.Records) return ok(this.configuration.recordsFrom(request.from))
    return await this.roles.handle(request)
  }

  private zonesOf (shard: string): readonly string[] {
    return findUpstream(this.configuration.current().manifest, shard)?.zones ?? []
  }

  /** Requests configuration records from several peers and returns the most recent page. */
  private askPeers (from: number): Promise<RecordsPage | undefined> {
    const others = this.members.nodes().filter((node) => node !== this.settings.node)
    return askFreshest(others, (node) => this.requestRecords(node, from))
  }

  /** Requests configuration records from every other node that may be alive. Returns undefined unless all of them responded. */
  private async askAllNodes (from: number): Promise<readonly RecordsPage[] | undefined> {
    const nodes = this.members.possiblyLiveNodes()
    if (nodes === undefined) return undefined
    const others = nodes.filter((node) => node !== this.settings.node)
    const pages = await Promise.all(others.map((node) => this.requestRecords(node, from)))
    const answered = pages.filter((page) => page !== undefined)
    return answered.length === others.length ? answered : undefined
  }

  private async requestRecords (node: string, from: number): Promise<RecordsPage | undefined> {
    const answer = await this.peers.askNode(node, { kind: MessageKind.Records, from }, RECORDS_TIMEOUT_MS)
    if (answer.isErr()) return undefined
    const page = RecordsPageCodec.decode(answer.value)
    return page.isRight() ? page.extract() as RecordsPage : undefined
  }

  /**
   * True if this node is the one that writes the snapshots of the configuration. This is the node whose name sorts first among those
   * that the last list of VMs does not show as terminated.
   */
  private isSnapshotWriter (): boolean {
    return this.members.nodes().sort()[0] === this.settings.node
  }
}

/** Returns the IP address and port of a base URL, which the validation of the settings has already checked. */
function addressOf (url: string): string {
  return new URL(url).host
}
