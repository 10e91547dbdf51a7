/**
 * The processes of one scenario (the stand-ins for platform and workers, and the daemons), and the relays between them. Each
 * node of the cell runs one daemon; the scenario language and this package call that daemon a node.
 */
import { mkdirSync, readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { err, ok, type Result } from 'neverthrow'
import { VmRole, VmState, type Vm } from '@fireflymount/service-clients/vm-list'
import type { Timing } from '@fireflymount/manifest/settings'
import type { Resources } from '@fireflymount/protocol/resources'
import type { WorkerCapacity } from '../check/evidence.js'
import { LinkState } from '../language/syntax-tree.js'
import { Child } from './child.js'
import { VmListProxy } from './vm-list-proxy.js'
import { callJson } from './http.js'
import { Links } from './links.js'
import { findPort } from './ports.js'
import { SCENARIO_TIMING, writeSettings } from './settings.js'

const PLATFORM_PROGRAM = fileURLToPath(import.meta.resolve('@fireflymount/standin/platform')).replace('/src/', '/dist/').replace(/\.ts$/, '.js')
const WORKER_PROGRAM = PLATFORM_PROGRAM.replace('platform.js', 'worker.js')
const DAEMON_PROGRAM = PLATFORM_PROGRAM.replace('standin/dist/platform.js', 'daemon/dist/main.js')

/** A running worker stand-in. */
export interface WorkerProcess {
  readonly name: string
  readonly child: Child
  readonly address: string
  readonly vm: Vm
}

/** A node: a running daemon. */
export interface NodeProcess {
  readonly name: string
  readonly zone: string
  readonly child: Child
  readonly api: string
}

/** Placement and capacity of a worker to start. */
export interface WorkerSpec {
  readonly upstream: string
  readonly zone: string
  readonly rack: string
  readonly slots: number
  readonly resources: Resources
}

/** Starts, calls and kills the processes of one scenario. */
export class Cell {
  readonly workers = new Map<string, WorkerProcess>()
  readonly nodes = new Map<string, NodeProcess>()
  readonly links = new Links()
  timing: Timing = SCENARIO_TIMING
  private platformChild: Child | undefined
  private platformAddress = ''
  private readonly vmListProxies: VmListProxy[] = []
  private readonly readyChildren = new Set<Child>()

  /** @param directory directory for settings files and logs */
  constructor (private readonly directory: string) {
    mkdirSync(directory, { recursive: true })
  }

  /** Base URL of the stand-in for the platform. */
  platform (): string {
    return `http://${this.platformAddress}`
  }

  /** Starts the stand-in for the platform. `args` are added to its command line. */
  async startPlatform (args: readonly string[]): Promise<Result<void, string>> {
    const child = new Child('platform', [PLATFORM_PROGRAM, '--port', '0', '--end-with-input', ...args], `${this.directory}/platform.log`)
    this.platformChild = child
    const ready = await child.waitUntilReady()
    if (ready.isErr()) return err(ready.error)
    this.platformAddress = (ready.value as { listening: string }).listening
    return ok()
  }

  /** Starts a worker and adds it to the list of VMs. */
  async startWorker (spec: WorkerSpec): Promise<Result<void, string>> {
    const name = `${spec.upstream}-${this.countWorkers(spec.upstream) + 1}`
    const { cpuMilli, memoryMb, accelerators } = spec.resources
    const child = new Child(name, [
      WORKER_PROGRAM, '--port', '0', '--end-with-input', '--id', name, '--slots', String(spec.slots),
      '--cpu-milli', String(cpuMilli), '--memory-mb', String(memoryMb), '--accelerators', String(accelerators)
    ], `${this.directory}/${name}.log`)
    const vm: Vm = {
      id: name,
      role: VmRole.Worker,
      state: VmState.Live,
      address: '',
      zone: spec.zone,
      rack: spec.rack,
      upstream: spec.upstream,
      resources: spec.resources,
      slots: spec.slots
    }
    this.workers.set(name, { name, child, address: '', vm })
    const ready = await child.waitUntilReady()
    if (ready.isErr()) return err(ready.error)
    const address = (ready.value as { listening: readonly { address: string }[] }).listening[0]?.address ?? ''
    this.workers.set(name, { name, child, address, vm: { ...vm, address } })
    return this.addVm({ ...vm, address })
  }

  /** Starts a daemon and adds it to the list of VMs. The name of a daemon that has exited may be reused. */
  async startNode (name: string, zone: string): Promise<Result<void, string>> {
    const previous = this.nodes.get(name)
    if (previous !== undefined && !await previous.child.waitForExit()) return err(`The node "${name}" is already running.`)
    const apiPort = await findPort()
    const peerPort = await findPort()
    const vmListProxy = new VmListProxy(this.platform(), (vm) => this.links.route(name, vm.id, vm.address))
    this.vmListProxies.push(vmListProxy)
    await vmListProxy.open()
    const log = await this.links.route(name, 'platform', this.platformAddress)
    const machines = await this.links.route(name, 'platform', vmListProxy.address())
    const file = `${this.directory}/${name}.json`
    writeSettings(file, { node: name, zone, apiPort, peerPort, log, machines }, this.timing)
    const child = new Child(name, [DAEMON_PROGRAM, '--settings', file], `${this.directory}/${name}.log`)
    this.nodes.set(name, { name, zone, child, api: `http://127.0.0.1:${apiPort}` })
    const address = `127.0.0.1:${peerPort}`
    const listed = await this.addVm({ id: name, role: VmRole.Entry, state: VmState.Live, address, zone, rack: `${zone}-entry` })
    if (listed.isErr()) return err(listed.error)
    const ready = await child.waitUntilReady()
    if (ready.isOk()) this.readyChildren.add(child)
    return ready.map(() => undefined)
  }

  /** Names of the nodes that have reported that they are ready and whose processes are running. */
  readyNodes (): string[] {
    return this.runningNodes().filter((name) => this.readyChildren.has(this.nodes.get(name)!.child))
  }

  /** Names of the nodes whose processes are running. */
  runningNodes (): string[] {
    const names: string[] = []
    for (const node of this.nodes.values()) {
      if (node.child.exit() === undefined) names.push(node.name)
    }
    return names
  }

  /** Slots and resources of every worker. */
  capacities (): WorkerCapacity[] {
    return [...this.workers.values()].map(({ name, vm }) => ({ worker: name, slots: vm.slots!, resources: vm.resources! }))
  }

  /** Finds a process by its name. */
  child (name: string): Child | undefined {
    if (name === 'platform') return this.platformChild
    return this.workers.get(name)?.child ?? this.nodes.get(name)?.child
  }

  /** Changes the state of the link between two processes. */
  async setLink (state: LinkState, left: string, right: string): Promise<void> {
    await this.links.set(state, left, right)
  }

  /** Calls a `/standin/` endpoint of the stand-in for the platform, which the real platform does not have. */
  async callPlatform (method: 'GET' | 'POST' | 'PATCH' | 'DELETE', path: string, body?: unknown): Promise<Result<unknown, string>> {
    const response = await callJson(`${this.platform()}/standin/${path}`, { method, body })
    if (response.isErr()) return err(`The stand-in for the platform did not respond to ${path}: ${response.error}`)
    return response.value.status < 300 ? ok(response.value.body) : err(`${path}: ${JSON.stringify(response.value.body)}`)
  }

  /** Calls a `/standin/` endpoint of a stand-in for a worker, which real workers do not have. */
  async callWorker (name: string, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<Result<unknown, string>> {
    const response = await callJson(`http://${this.workers.get(name)?.address}/standin/${path}`, { method, body })
    if (response.isErr()) return err(`The worker "${name}" did not respond to ${path}: ${response.error}`)
    return response.value.status < 300 ? ok(response.value.body) : err(`${path}: ${JSON.stringify(response.value.body)}`)
  }

  /** Describes a daemon or worker that exited without being told to stop, if there is one. */
  findCrash (): string | undefined {
    for (const { child } of [...this.nodes.values(), ...this.workers.values()]) {
      const exit = child.exit()
      if (exit !== undefined && !child.exitExpected) return `"${child.name}" exited unexpectedly (${exit}): ${child.lastOutput()}`
    }
    return undefined
  }

  /** Fails if the processes' standard error or the first page of any stream of the log contains a secret. */
  async checkForSecret (secret: string): Promise<Result<void, string>> {
    for (const file of readdirSync(this.directory)) {
      if (file.endsWith('.log') && readFileSync(join(this.directory, file), 'utf8').includes(secret)) return err(`${file} contains a secret.`)
    }
    const streams = await this.callPlatform('GET', 'log/streams')
    if (streams.isErr()) return err(streams.error)
    for (const stream of (streams.value as { streams: readonly string[] }).streams) {
      const dump = await this.callPlatform('GET', `log/streams/${stream}`)
      if (dump.isErr()) return err(dump.error)
      if (JSON.stringify(dump.value).includes(secret)) return err(`The stream "${stream}" contains a secret.`)
    }
    return ok()
  }

  /** Kills every process, including frozen ones, and closes every relay. */
  async close (): Promise<void> {
    const children = [...this.nodes.values(), ...this.workers.values()].map((each) => each.child)
    if (this.platformChild !== undefined) children.push(this.platformChild)
    await Promise.all(children.map((child) => child.kill()))
    await Promise.all(this.vmListProxies.map((vmListProxy) => vmListProxy.close()))
    await this.links.close()
  }

  private countWorkers (upstream: string): number {
    let count = 0
    for (const worker of this.workers.values()) {
      if (worker.vm.upstream === upstream) count += 1
    }
    return count
  }

  private async addVm (vm: Vm): Promise<Result<void, string>> {
    const put = await this.callPlatform('POST', 'vms', { vms: [vm] })
    return put.map(() => undefined)
  }
}
