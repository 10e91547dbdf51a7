/**
 * Runs a cell for measurements: daemons, one stand-in for the platform and one for the workers of each shard, each in a
 * process of its own. They are connected directly, without fault injection between them.
 */
import { randomUUID } from 'node:crypto'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Change } from '@fireflymount/manifest/delta'
import { diffManifests } from '@fireflymount/manifest/diff'
import { EMPTY_MANIFEST } from '@fireflymount/manifest/manifest'
import { DEFAULT_TIMING } from '@fireflymount/manifest/settings-codec'
import type { Timing } from '@fireflymount/manifest/settings'
import { VmRole, VmState, type Vm } from '@fireflymount/service-clients/vm-list'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { SurveyReport } from '@fireflymount/protocol/survey'
import { Child } from '@fireflymount/scenario/cell/child'
import { callJson } from '@fireflymount/scenario/cell/http'
import { findPort } from '@fireflymount/scenario/cell/ports'
import { ADMINISTRATION_SECRET, writeSettings } from '@fireflymount/scenario/cell/settings'
import { Signal } from '@fireflymount/scenario/language/syntax-tree'
import { createManifest, shardName, ZONES } from './manifest.js'
import type { NodeUsage } from './usage.js'

const PLATFORM_PROGRAM = resolveProgram('@fireflymount/standin/platform')
const WORKER_PROGRAM = resolveProgram('@fireflymount/standin/worker')
const DAEMON_PROGRAM = resolveProgram('@fireflymount/daemon/main')

const ADMINISTRATOR_HEADERS = { authorization: `Bearer ${ADMINISTRATION_SECRET}` }
const SHARD_READY_TIMEOUT_MS = 15_000
const POLL_INTERVAL_MS = 50
const WORKERS_PER_RACK = 5
const MAX_APPENDS_PER_S = 300

/** Size and settings of a cell. */
export interface CellPlan {
  readonly nodes: number
  readonly shards: number
  /** Workers of each shard. */
  readonly workers: number
  readonly slots: number
  readonly timing?: Timing
  /** Directory to which the daemons write CPU profiles; no profiles if absent. */
  readonly profiles?: string
}

/** A node: a running daemon. */
export interface BenchNode {
  readonly name: string
  /** Base URL of its API. */
  readonly api: string
  readonly child: Child
}

/** A worker of a worker stand-in. */
export interface BenchWorker {
  readonly id: string
  /** IP address and port. */
  readonly address: string
  readonly shard: string
}

/** The processes of one measurement. Throws if the set-up fails, which aborts the measurement. */
export class BenchCell {
  readonly nodes: BenchNode[] = []
  readonly workers: BenchWorker[] = []
  private readonly directory = mkdtempSync(join(tmpdir(), 'fireflymount-measure-'))
  private readonly children: Child[] = []
  private platform = ''
  private revision = -1

  private constructor (private readonly plan: CellPlan) {}

  /**
   * Starts a cell and waits until every shard has an owner and all its workers are ready.
   *
   * @param plan size and settings of the cell
   * @returns the cell; stop it with `close`
   */
  static async start (plan: CellPlan): Promise<BenchCell> {
    const cell = new BenchCell(plan)
    try {
      await cell.startAll()
      return cell
    } catch (error) {
      await cell.close()
      throw error
    }
  }

  /** Publishes configuration changes. Calls must not overlap, because each builds on the revision of the last one. */
  async publish (changes: readonly Change[]): Promise<void> {
    const body = { base: this.revision, changes, publish: randomUUID() }
    const answer = await this.callAdminApi(this.nodes[0]!.api, 'configuration', 'PATCH', body)
    this.revision = (answer as { revision: number }).revision
  }

  /** Reads the cumulative resource usage of each node. */
  async readUsages (): Promise<NodeUsage[]> {
    const usages = await Promise.all(this.nodes.map(({ api }) => this.callAdminApi(api, 'node')))
    return usages as NodeUsage[]
  }

  /** Reads the epoch of a shard's owner. */
  async readEpoch (shard: string): Promise<Epoch> {
    return (await this.readShard(shard)).epoch
  }

  /** Reads the names of a shard's standbys from the newest ownership claim in the first page of its stream. */
  async readStandbys (shard: string): Promise<readonly string[]> {
    const stream = await this.callOrThrow(`${this.platform}/standin/log/streams/shard.${shard}`) as { records: Array<{ data: { standbys?: string[] } }> }
    return stream.records.findLast(({ data }) => data.standbys !== undefined)?.data.standbys ?? []
  }

  /** Counts the running tasks of a shard. */
  async countRunning (shard: string): Promise<number> {
    return (await this.readShard(shard)).running
  }

  /** Stops every process and deletes the temporary directory. */
  async close (): Promise<void> {
    if (this.plan.profiles !== undefined) await this.stopNodes()
    await Promise.all(this.children.map((child) => child.kill()))
    rmSync(this.directory, { recursive: true, force: true })
  }

  private async startAll (): Promise<void> {
    const { nodes, shards } = this.plan
    const platform = await this.spawn('platform', [PLATFORM_PROGRAM, '--port', '0', '--end-with-input', '--appends-per-second', `${MAX_APPENDS_PER_S}`])
    this.platform = `http://${(platform as { listening: string }).listening}`
    for (let index = 0; index < shards; index++) await this.startWorkers(shardName(index))
    await Promise.all(Array.from({ length: nodes }, (_, index) => this.startNode(index)))
    await this.publish(diffManifests(EMPTY_MANIFEST, createManifest(shards)))
    for (let index = 0; index < shards; index++) await this.awaitShard(shardName(index))
  }

  private async startWorkers (shard: string): Promise<void> {
    const { workers, slots } = this.plan
    const ready = await this.spawn(shard, [
      WORKER_PROGRAM, '--port', '0', '--end-with-input', '--id', shard, '--count', `${workers}`, '--slots', `${slots}`
    ])
    const { listening } = ready as { listening: ReadonlyArray<{ id: string, address: string }> }
    const vms: Vm[] = []
    for (const [index, { id, address }] of listening.entries()) {
      this.workers.push({ id, address, shard })
      vms.push({
        id,
        role: VmRole.Worker,
        state: VmState.Live,
        address,
        zone: ZONES[index % ZONES.length]!,
        rack: `${shard}-${Math.floor(index / WORKERS_PER_RACK) + 1}`,
        upstream: shard,
        resources: { cpuMilli: 16_000, memoryMb: 32_000, accelerators: 0 },
        slots
      })
    }
    await this.callOrThrow(`${this.platform}/standin/vms`, 'POST', { vms })
  }

  private async startNode (index: number): Promise<void> {
    const zone = ZONES[index % ZONES.length]!
    const node = `entry-${zone}-${Math.floor(index / ZONES.length) + 1}`
    const apiPort = await findPort()
    const peerPort = await findPort()
    const file = `${this.directory}/${node}.json`
    const platform = this.platform.replace('http://', '')
    writeSettings(file, { node, zone, apiPort, peerPort, log: platform, machines: platform }, this.plan.timing ?? DEFAULT_TIMING)
    const address = `127.0.0.1:${peerPort}`
    const vm: Vm = { id: node, role: VmRole.Entry, state: VmState.Live, address, zone, rack: `${zone}-entry` }
    await this.callOrThrow(`${this.platform}/standin/vms`, 'POST', { vms: [vm] })
    const { profiles } = this.plan
    const flags = profiles === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profiles}`, `--cpu-prof-name=${node}.cpuprofile`]
    await this.spawn(node, [...flags, DAEMON_PROGRAM, '--settings', file])
    this.nodes.push({ name: node, api: `http://127.0.0.1:${apiPort}`, child: this.children.find((child) => child.name === node)! })
  }

  private async awaitShard (shard: string): Promise<void> {
    const deadlineMs = performance.now() + SHARD_READY_TIMEOUT_MS
    while (performance.now() < deadlineMs) {
      const response = await callJson(`${this.nodes[0]!.api}/v1/admin/shards/${shard}`, { headers: ADMINISTRATOR_HEADERS })
      if (response.isOk() && response.value.status === 200 && this.hasAllWorkersReady(response.value.body as SurveyReport)) return
      await sleep(POLL_INTERVAL_MS)
    }
    throw new Error(`Shard ${shard} has no owner that reports all its workers as ready after ${SHARD_READY_TIMEOUT_MS} ms.`)
  }

  private hasAllWorkersReady ({ workers }: SurveyReport): boolean {
    return workers.length === this.plan.workers && workers.every(({ condition }) => condition === 'ready')
  }

  private async readShard (shard: string): Promise<SurveyReport> {
    return await this.callAdminApi(this.nodes[0]!.api, `shards/${shard}`) as SurveyReport
  }

  private callAdminApi (api: string, path: string, method: 'GET' | 'PATCH' = 'GET', body?: unknown): Promise<unknown> {
    return this.callOrThrow(`${api}/v1/admin/${path}`, method, body)
  }

  private async callOrThrow (url: string, method: 'GET' | 'POST' | 'PATCH' = 'GET', body?: unknown): Promise<unknown> {
    const response = await callJson(url, { method, headers: ADMINISTRATOR_HEADERS, body })
    if (response.isErr()) throw new Error(`${method} ${url}: ${response.error}`)
    if (response.value.status >= 300) throw new Error(`${method} ${url}: ${JSON.stringify(response.value.body)}`)
    return response.value.body
  }

  private async spawn (name: string, args: readonly string[]): Promise<unknown> {
    const child = new Child(name, args, `${this.directory}/${name}.log`)
    this.children.push(child)
    const ready = await child.waitUntilReady()
    if (ready.isErr()) throw new Error(ready.error)
    return ready.value
  }

  /** Stops the daemons gracefully, because they write their CPU profiles on exit. */
  private async stopNodes (): Promise<void> {
    for (const { child } of this.nodes) child.signal(Signal.Stop)
    await Promise.all(this.nodes.map(({ child }) => child.waitForExit()))
  }
}

function resolveProgram (specifier: string): string {
  return fileURLToPath(import.meta.resolve(specifier)).replace('/src/', '/dist/').replace(/\.ts$/, '.js')
}
