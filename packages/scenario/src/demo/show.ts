/**
 * What the acts of the demonstration work with.
 */
import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import type { RecordPage } from '@fireflymount/standin/record'
import type { Cell } from '../cell/cell.js'
import { ADMINISTRATION_SECRET } from '../cell/settings.js'
import { Signal } from '../language/script.js'
import type { Answer } from '../check/evidence.js'
import { Recorder } from '../check/recorder.js'
import { sendWork, type Receipt, type Sending } from '../run/caller.js'
import { pause } from '../run/operator.js'

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url))
const COMMAND = `${ROOT}packages/command/dist/main.js`

/** Manifest of the demonstration. */
export const MANIFEST = `${ROOT}samples/cell.json`

/** How a run of the command line ended. */
export interface CommandEnd {
  readonly exit: number
  readonly output: string
}

/** Prints results and counts those that are wrong. */
export class Show {
  failures = 0
  readonly answers: Answer[] = []
  readonly recorder: Recorder
  private sent = 0
  private readonly killed = new Set<string>()

  constructor (readonly cell: Cell) {
    this.recorder = new Recorder(async (worker, from) => {
      const page = await cell.askWorker(worker, 'GET', `record?from=${from}`)
      return page.isOk() ? page.value as RecordPage : undefined
    })
  }

  /** Prints one result with what it shows. */
  tell (title: string, right: boolean, result: string, meaning: string): void {
    if (!right) this.failures += 1
    console.log(`${right ? 'ok   ' : 'WRONG'}  ${title.padEnd(18)} ${result}\n       ${''.padEnd(18)} ${meaning}`)
  }

  /** Base URLs of the nodes that run. */
  apis (): string[] {
    return this.cell.runningNodes().filter((name) => !this.killed.has(name)).map((name) => this.cell.nodes.get(name)!.api)
  }

  /** Sends one piece of work to the nodes in turn. */
  async send (work: Partial<Sending> & Pick<Sending, 'queue' | 'synchronous'>, keyName?: string): Promise<Receipt> {
    this.sent += 1
    const apis = this.apis()
    const receipt = await sendWork({
      name: work.queue,
      nonce: work.idempotencyKey ?? `demo-${this.sent}`,
      api: apis[this.sent % apis.length]!,
      key: keyName,
      bearer: keyName === undefined ? undefined : `${keyName}.sample-${keyName}`,
      fails: false,
      ...work
    })
    this.answers.push(receipt.answer)
    return receipt
  }

  /** Runs the command line against all nodes. */
  runCommand (...args: string[]): Promise<CommandEnd> {
    const servers = this.apis().flatMap((api) => ['--server', api])
    const env = { ...process.env, FIREFLYMOUNT_KEY: ADMINISTRATION_SECRET }
    return new Promise((resolve) => {
      execFile(process.execPath, [COMMAND, ...servers, ...args], { env, timeout: 20_000 }, (error, stdout, stderr) => {
        resolve({ exit: error === null ? 0 : Number(error.code ?? 1), output: `${stdout}${stderr}`.trim() })
      })
    })
  }

  /** Waits until a condition holds. */
  async waitFor (limitMs: number, condition: () => boolean | Promise<boolean>): Promise<boolean> {
    const endMs = performance.now() + limitMs
    while (performance.now() < endMs) {
      await this.recorder.refresh(this.cell.workers.keys())
      if (await condition()) return true
      await pause()
    }
    return false
  }

  /** Names of the workers of an upstream. */
  workersOf (upstream: string): string[] {
    return [...this.cell.workers.values()].filter((worker) => worker.vm.upstream === upstream).map((worker) => worker.name)
  }

  /** Kills a node, without a chance to say goodbye. */
  kill (name: string): void {
    this.killed.add(name)
    this.cell.child(name)?.signal(Signal.Kill)
  }
}
