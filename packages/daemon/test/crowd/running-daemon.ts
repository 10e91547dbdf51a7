/**
 * The daemon as its own process, on a machine with little memory and few descriptors, with a stand-in for the platform's services.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { randomInt } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createInterface } from 'node:readline'
import { setTimeout as sleep } from 'node:timers/promises'
import { hashSecret } from '@fireflymount/manifest/hash'
import { Workload } from '@fireflymount/protocol/workload'
import { ProcessWatch, Target, call, type Answer, type Machine, type Observation } from '../../../../platform/test/crowd/running-node.js'
import { CIRCLE_AUTHORIZATION, createManifest, createQueue } from '../entry-fakes.js'

const PACKAGES = path.resolve(import.meta.dirname, '../../..')
const API_PORT = 8686
const PEER_PORT = 8689
const READY_TIMEOUT_MS = 20_000
const ADMINISTRATION_SECRET = 'administration-of-crowds'
/** Part of the machine's memory that the process may use for its heap. */
const HEAP_FRACTION = 0.4

/** The queue of the crowd, which its team may fill. */
export const CROWD_QUEUE = 'yardage'
const ORDINARY_QUEUE = 'swatch'

/** A running daemon. */
export class RunningDaemon extends Target {
  override readonly acceptedStatus = 202
  private readonly watch: ProcessWatch

  private constructor (
    override readonly host: string,
    override readonly callerPort: number,
    child: ChildProcess,
    private readonly platform: ChildProcess,
    private readonly folder: string
  ) {
    super()
    this.watch = new ProcessWatch(child, [`${host}:${API_PORT}`, `${host}:${PEER_PORT}`])
  }

  /** Starts a daemon on whose API a crowd presses. */
  static async start (machine: Machine): Promise<RunningDaemon> {
    return await RunningDaemon.startFor(API_PORT, machine)
  }

  /** Starts a daemon on whose listener for other nodes a crowd presses. */
  static async startForPeers (machine: Machine): Promise<RunningDaemon> {
    return await RunningDaemon.startFor(PEER_PORT, machine)
  }

  override get alive (): boolean {
    return this.watch.alive
  }

  override observe (): Observation {
    return this.watch.observe()
  }

  override async probe (): Promise<Answer> {
    return await call({ host: this.host, port: API_PORT, path: '/readyz' })
  }

  override async submitOrdinary (): Promise<Answer> {
    const headers = { authorization: CIRCLE_AUTHORIZATION, 'content-type': 'application/json' }
    const options = { host: this.host, port: API_PORT, path: `/v1/queues/${ORDINARY_QUEUE}/jobs`, method: 'POST', headers }
    return await call(options, '{"body":{}}')
  }

  override async stop (): Promise<void> {
    await this.watch.end()
    this.platform.kill('SIGKILL')
    rmSync(this.folder, { recursive: true })
  }

  private static async startFor (port: number, machine: Machine): Promise<RunningDaemon> {
    const host = `127.0.${randomInt(1, 255)}.${randomInt(2, 255)}`
    const folder = mkdtempSync(path.join(tmpdir(), 'crowd-'))
    const { platform, address } = await startPlatform()
    await post(`http://${address}/standin/vms`, 'POST', { vms: [vmOf(host)] })
    const file = path.join(folder, 'settings.json')
    writeFileSync(file, JSON.stringify(settingsOf(host, address)))
    const heapMb = Math.floor(machine.memoryMb * HEAP_FRACTION)
    const program = path.join(PACKAGES, 'daemon/bin/fireflymountd.js')
    const run = `ulimit -n ${machine.maxFds} && exec "$0" --max-old-space-size=${heapMb} --max-semi-space-size=2 "$1" --settings "$2"`
    const child = spawn('sh', ['-c', run, process.execPath, program, file], {
      stdio: ['ignore', 'ignore', 'inherit'], env: { ...process.env, UV_USE_IO_URING: '0' }
    })
    const daemon = new RunningDaemon(host, port, child, platform, folder)
    await daemon.awaitReady()
    return daemon
  }

  /** Publishes the configuration once the daemon answers, and waits until it accepts jobs. */
  private async awaitReady (): Promise<void> {
    const deadlineMs = Date.now() + READY_TIMEOUT_MS
    let published = false
    while (!published || (await this.submitOrdinary()).status !== this.acceptedStatus) {
      if (Date.now() > deadlineMs || !this.alive) throw new Error(`The daemon did not become ready. ${this.watch.ended}`)
      if (!published && (await this.probe()).status === 200) published = await this.publish()
      await sleep(100)
    }
  }

  private async publish (): Promise<boolean> {
    const changes = Object.entries(manifestOf()).flatMap(([section, objects]) => {
      return (objects as ReadonlyArray<{ name: string }>).map((value) => ({ section, name: value.name, value }))
    })
    return await post(`http://${this.host}:${API_PORT}/v1/admin/configuration`, 'PATCH', { base: -1, changes })
  }
}

function manifestOf (): object {
  const batch = { workload: Workload.Batch as const, deadlineMs: 0, capacity: 1000 }
  return {
    ...createManifest(),
    queues: [
      createQueue({ ...batch, name: CROWD_QUEUE, teams: ['guild'] }),
      createQueue({ ...batch, name: ORDINARY_QUEUE, teams: ['circle'], upstream: 'cloth-studio' })
    ],
    objectives: []
  }
}

function vmOf (host: string): object {
  return { id: 'edge-1', role: 'entry', state: 'live', address: `${host}:${PEER_PORT}`, zone: 'fukuoka', rack: 'fukuoka-1' }
}

function settingsOf (host: string, platform: string): object {
  return {
    node: 'edge-1',
    zone: 'fukuoka',
    region: 'kyushu',
    api: { host, port: API_PORT },
    peer: { host, port: PEER_PORT },
    platform: { log: `http://${platform}`, machines: `http://${platform}` },
    administrators: [hashSecret(ADMINISTRATION_SECRET)],
    limits: { bodyBytes: 262_144 }
  }
}

async function startPlatform (): Promise<{ platform: ChildProcess, address: string }> {
  const program = path.join(PACKAGES, 'standin/dist/platform.js')
  const platform = spawn(process.execPath, [program, '--port', '0', '--end-with-input'], { stdio: ['pipe', 'pipe', 'inherit'] })
  const line = await new Promise<string>((resolve) => { createInterface({ input: platform.stdout! }).once('line', resolve) })
  return { platform, address: (JSON.parse(line) as { listening: string }).listening }
}

async function post (url: string, method: string, body: object): Promise<boolean> {
  const headers = { authorization: `Bearer ${ADMINISTRATION_SECRET}`, 'content-type': 'application/json' }
  return (await fetch(url, { method, headers, body: JSON.stringify(body) })).ok
}
