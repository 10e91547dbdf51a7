/**
 * The cell and the helper functions that the steps of the demonstration share.
 */
import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import type { EventPage } from '@fireflymount/standin/event-history'
import type { Cell } from '../cell/cell.js'
import { ADMINISTRATION_SECRET } from '../cell/settings.js'
import { Signal } from '../language/syntax-tree.js'
import type { Answer } from '../check/evidence.js'
import { WorkerEventHistories } from '../check/event-histories.js'
import { sendWork, type SendResult, type WorkToSend } from '../run/caller.js'
import { waitForNextPoll } from '../run/operator.js'

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url))
const COMMAND_PROGRAM = `${ROOT}packages/command/dist/main.js`

/** File of the demonstration's manifest. */
export const MANIFEST = `${ROOT}samples/cell.json`

/** Exit code and output of one run of the command line program. */
export interface CommandResult {
  readonly exitCode: number
  readonly output: string
}

/** Prints results, counts those that are not as expected, and gives the steps access to the cell. */
export class DemoContext {
  failures = 0
  readonly answers: Answer[] = []
  readonly eventHistories: WorkerEventHistories
  private sentCount = 0
  private readonly killed = new Set<string>()

  constructor (readonly cell: Cell) {
    this.eventHistories = new WorkerEventHistories(async (worker, from) => {
      const page = await cell.callWorker(worker, 'GET', `record?from=${from}`)
      return page.isOk() ? page.value as EventPage : undefined
    })
  }

  /** Prints one result and what it shows. */
  report (title: string, isExpected: boolean, result: string, meaning: string): void {
    if (!isExpected) this.failures += 1
    console.log(`${isExpected ? 'ok   ' : 'FAIL '}  ${title.padEnd(18)} ${result}\n       ${''.padEnd(18)} ${meaning}`)
  }

  /** Base URLs of the running nodes. */
  apis (): string[] {
    return this.cell.runningNodes().filter((name) => !this.killed.has(name)).map((name) => this.cell.nodes.get(name)!.api)
  }

  /** Sends one job or request. Successive calls go to the running nodes in turn. */
  async send (work: Partial<WorkToSend> & Pick<WorkToSend, 'queue' | 'synchronous'>, keyName?: string): Promise<SendResult> {
    this.sentCount += 1
    const apis = this.apis()
    const result = await sendWork({
      name: work.queue,
      nonce: work.idempotencyKey ?? `demo-${this.sentCount}`,
      api: apis[this.sentCount % apis.length]!,
      key: keyName,
      bearer: keyName === undefined ? undefined : `${keyName}.sample-${keyName}`,
      fails: false,
      ...work
    })
    this.answers.push(result.answer)
    return result
  }

  /** Runs the command line program with all nodes as servers. */
  runCommand (...args: string[]): Promise<CommandResult> {
    const servers = this.apis().flatMap((api) => ['--server', api])
    const env = { ...process.env, FIREFLYMOUNT_KEY: ADMINISTRATION_SECRET }
    return new Promise((resolve) => {
      execFile(process.execPath, [COMMAND_PROGRAM, ...servers, ...args], { env, timeout: 20_000 }, (error, stdout, stderr) => {
        resolve({ exitCode: error === null ? 0 : Number(error.code ?? 1), output: `${stdout}${stderr}`.trim() })
      })
    })
  }

  /** Polls a condition until it holds or the timeout has passed. */
  async waitFor (timeoutMs: number, condition: () => boolean | Promise<boolean>): Promise<boolean> {
    const endMs = performance.now() + timeoutMs
    while (performance.now() < endMs) {
      await this.eventHistories.refresh(this.cell.workers.keys())
      if (await condition()) return true
      await waitForNextPoll()
    }
    return false
  }

  /** Names of the workers of an upstream. */
  workersOf (upstream: string): string[] {
    return [...this.cell.workers.values()].filter((worker) => worker.vm.upstream === upstream).map((worker) => worker.name)
  }

  /** Kills a node with SIGKILL, so that it cannot shut down gracefully. */
  kill (name: string): void {
    this.killed.add(name)
    this.cell.child(name)?.signal(Signal.Kill)
  }
}
