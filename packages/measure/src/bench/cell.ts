/**
 * Real daemons beside stand-ins, as separate processes with nothing between them.
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
import { VmRole, VmState, type Vm } from '@fireflymount/platform/machines'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { SurveyReport } from '@fireflymount/protocol/survey'
import { Child } from '@fireflymount/scenario/cell/child'
import { callJson } from '@fireflymount/scenario/cell/http'
import { findPort } from '@fireflymount/scenario/cell/ports'
import { ADMINISTRATION_SECRET, writeSettings } from '@fireflymount/scenario/cell/settings'
import { Signal } from '@fireflymount/scenario/language/script'
import { createManifest, shardName, ZONES } from './manifest.js'
import type { NodeUsage } from './usage.js'

const STANDIN = programOf('@fireflymount/standin/platform')
const WORKER = programOf('@fireflymount/standin/worker')
const DAEMON = programOf('@fireflymount/daemon/main')

const ADMINISTRATOR = { authorization: `Bearer ${ADMINISTRATION_SECRET}` }
const READY_MS = 15_000
const POLL_MS = 50
const RACK_WORKERS = 5
const APPENDS_PER_S = 300

/** What a cell is made of. */
export interface CellPlan {
  readonly nodes: number
  readonly shards: number
  /** Workers of each shard. */
  readonly workers: number
  readonly slots: number
  readonly timing?: Timing
  /** Directory for processor profiles of the daemons; none if absent. */
  readonly profiles?: string
}

/** A daemon. */
export interface BenchNode {
  readonly name: string
  /** Base URL of its API. */
  readonly api: string
  readonly child: Child
}

/** A worker's stand-in. */
export interface BenchWorker {
  readonly id: string
  /** IP address and port. */
  readonly address: string
  readonly shard: string
}

/** The processes of one measurement. Set-up that fails ends the measurement. */
export class BenchCell {
  readonly nodes: BenchNode[] = []
  readonly workers: BenchWorker[] = []
  private readonly directory = mkdtempSync(join(tmpdir(), 'fireflymount-measure-'))
  private readonly children: Child[] = []
  private platform = ''
  private revision = -1

  private constructor (private readonly plan: CellPlan) {}

  /**
   * Starts a cell and waits until every shard has an owner and all its workers.
   *
   * @param plan what it is made of
   * @returns the cell; end it with `close`
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

  /** Publishes changes of the configuration, one publication after the other. */
  async publish (changes: readonly Change[]): Promise<void> {
    const body = { base: this.revision, changes, publish: randomUUID() }
    const answer = await this.ask(this.nodes[0]!.api, 'configuration', 'PATCH', body)
    this.revision = (answer as { revision: number }).revision
  }

  /** What each node has spent so far. */
  async usages (): Promise<NodeUsage[]> {
    const usages = await Promise.all(this.nodes.map(({ api }) => this.ask(api, 'node')))
    return usages as NodeUsage[]
  }

  /** The epoch of a shard's owner. */
  async epoch (shard: string): Promise<Epoch> {
    return (await this.survey(shard)).epoch
  }

  /** Names of the standbys of a shard, as its newest claim in the log gives them. */
  async standbys (shard: string): Promise<readonly string[]> {
    const dump = await this.call(`${this.platform}/standin/log/streams/shard.${shard}`) as { records: Array<{ data: { standbys?: string[] } }> }
    return dump.records.findLast(({ data }) => data.standbys !== undefined)?.data.standbys ?? []
  }

  /** Number of tasks that run in a shard. */
  async running (shard: string): Promise<number> {
    return (await this.survey(shard)).running
  }

  /** Ends every process. */
  async close (): Promise<void> {
    if (this.plan.profiles !== undefined) await this.drain()
    await Promise.all(this.children.map((child) => child.end()))
    rmSync(this.directory, { recursive: true, force: true })
  }

  private async startAll (): Promise<void> {
    const { nodes, shards } = this.plan
    const platform = await this.spawn('platform', [STANDIN, '--port', '0', '--end-with-input', '--appends-per-second', `${APPENDS_PER_S}`])
    this.platform = `http://${(platform as { listening: string }).listening}`
    for (let index = 0; index < shards; index++) await this.startWorkers(shardName(index))
    await Promise.all(Array.from({ length: nodes }, (_, index) => this.startNode(index)))
    await this.publish(diffManifests(EMPTY_MANIFEST, createManifest(shards)))
    for (let index = 0; index < shards; index++) await this.awaitShard(shardName(index))
  }

  private async startWorkers (shard: string): Promise<void> {
    const { workers, slots } = this.plan
    const ready = await this.spawn(shard, [
      WORKER, '--port', '0', '--end-with-input', '--id', shard, '--count', `${workers}`, '--slots', `${slots}`
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
        rack: `${shard}-${Math.floor(index / RACK_WORKERS) + 1}`,
        upstream: shard,
        resources: { cpuMilli: 16_000, memoryMb: 32_000, accelerators: 0 },
        slots
      })
    }
    await this.call(`${this.platform}/standin/vms`, 'POST', { vms })
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
    await this.call(`${this.platform}/standin/vms`, 'POST', { vms: [vm] })
    const { profiles } = this.plan
    const flags = profiles === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profiles}`, `--cpu-prof-name=${node}.cpuprofile`]
    await this.spawn(node, [...flags, DAEMON, '--settings', file])
    this.nodes.push({ name: node, api: `http://127.0.0.1:${apiPort}`, child: this.children.find((child) => child.name === node)! })
  }

  private async awaitShard (shard: string): Promise<void> {
    const endMs = performance.now() + READY_MS
    while (performance.now() < endMs) {
      const reply = await callJson(`${this.nodes[0]!.api}/v1/admin/shards/${shard}`, { headers: ADMINISTRATOR })
      if (reply.isOk() && reply.value.status === 200 && this.isWhole(reply.value.body as SurveyReport)) return
      await sleep(POLL_MS)
    }
    throw new Error(`The shard ${shard} has no owner with all its workers after ${READY_MS} ms.`)
  }

  private isWhole ({ workers }: SurveyReport): boolean {
    return workers.length === this.plan.workers && workers.every(({ condition }) => condition === 'ready')
  }

  private async survey (shard: string): Promise<SurveyReport> {
    return await this.ask(this.nodes[0]!.api, `shards/${shard}`) as SurveyReport
  }

  private ask (api: string, path: string, method: 'GET' | 'PATCH' = 'GET', body?: unknown): Promise<unknown> {
    return this.call(`${api}/v1/admin/${path}`, method, body)
  }

  private async call (url: string, method: 'GET' | 'POST' | 'PATCH' = 'GET', body?: unknown): Promise<unknown> {
    const reply = await callJson(url, { method, headers: ADMINISTRATOR, body })
    if (reply.isErr()) throw new Error(`${method} ${url}: ${reply.error}`)
    if (reply.value.status >= 300) throw new Error(`${method} ${url}: ${JSON.stringify(reply.value.body)}`)
    return reply.value.body
  }

  private async spawn (name: string, args: readonly string[]): Promise<unknown> {
    const child = new Child(name, args, `${this.directory}/${name}.log`)
    this.children.push(child)
    const ready = await child.ready()
    if (ready.isErr()) throw new Error(ready.error)
    return ready.value
  }

  /** Lets the daemons end by themselves, so that they write their profiles. */
  private async drain (): Promise<void> {
    for (const { child } of this.nodes) child.signal(Signal.Stop)
    await Promise.all(this.nodes.map(({ child }) => child.isGone()))
  }
}

function programOf (specifier: string): string {
  return fileURLToPath(import.meta.resolve(specifier)).replace('/src/', '/dist/').replace(/\.ts$/, '.js')
}
