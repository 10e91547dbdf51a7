/**
 * A process that the runner started, and ends.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { appendFileSync } from 'node:fs'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { err, ok, type Result } from 'neverthrow'
import { Signal } from '../language/script.js'

const READY_TIMEOUT_MS = 10_000
const GONE_TIMEOUT_MS = 5_000
const LAST_LINES = 5

const children = new Set<Child>()

/** One process. */
export class Child {
  private readonly process: ChildProcess
  private readonly lastLines: string[] = []
  /** Set once it was told to stop or killed, so that its end is no surprise. */
  ordered = false

  /**
   * Starts a process.
   *
   * @param name its name, for messages
   * @param args arguments of Node: the program and its options
   * @param logFile file that takes what it writes to standard error
   */
  constructor (readonly name: string, args: readonly string[], private readonly logFile: string) {
    this.process = spawn(process.execPath, [...args], { stdio: ['pipe', 'pipe', 'pipe'], env: { ...process.env, UV_USE_IO_URING: '0' } })
    this.process.stdin?.on('error', () => {})
    this.process.stderr?.on('data', (bytes: Buffer) => this.onErrorOutput(bytes))
    children.add(this)
    this.process.once('exit', () => children.delete(this))
  }

  /** Waits for the JSON line that the process prints once it is ready. */
  async ready (): Promise<Result<unknown, string>> {
    const lines = createInterface({ input: this.process.stdout! })
    const timeout = AbortSignal.timeout(READY_TIMEOUT_MS)
    const gone = new Promise<undefined>((resolve) => {
      this.process.once('exit', () => resolve(undefined))
      timeout.addEventListener('abort', () => resolve(undefined), { once: true })
    })
    const line = await Promise.race([new Promise<string>((resolve) => lines.once('line', resolve)), gone])
    if (line !== undefined) return ok(JSON.parse(line) as unknown)
    return err(`"${this.name}" did not get ready (exit code ${this.process.exitCode}): ${this.lastOutput()}`)
  }

  /** Its process id. */
  id (): number {
    return this.process.pid ?? 0
  }

  /** Exit code, or the name of the signal that ended it; undefined while it runs. */
  exit (): number | string | undefined {
    return this.process.exitCode ?? this.process.signalCode ?? undefined
  }

  /** The last lines of its standard error. */
  lastOutput (): string {
    return this.lastLines.join(' | ')
  }

  /** Waits for the end of a process that was told to stop or killed. Returns false if it goes on. */
  async isGone (): Promise<boolean> {
    if (this.exit() !== undefined) return true
    if (!this.ordered) return false
    const timeout = AbortSignal.timeout(GONE_TIMEOUT_MS)
    await once(this.process, 'exit', { signal: timeout }).catch(() => {})
    return this.exit() !== undefined
  }

  /** Sends a signal, to this process only. */
  signal (signal: Signal): void {
    if (this.exit() !== undefined) return
    if (signal === Signal.Stop || signal === Signal.Kill) this.ordered = true
    this.process.kill(SIGNALS[signal])
  }

  /** Ends it, also while it is frozen, and waits until it is gone. */
  async end (): Promise<void> {
    if (this.exit() !== undefined) return
    this.ordered = true
    const gone = once(this.process, 'exit')
    this.process.kill('SIGKILL')
    await gone
  }

  private onErrorOutput (bytes: Buffer): void {
    appendFileSync(this.logFile, bytes)
    for (const line of bytes.toString().split('\n')) {
      if (line.length === 0) continue
      this.lastLines.push(line.slice(0, 300))
      if (this.lastLines.length > LAST_LINES) this.lastLines.shift()
    }
  }
}

const SIGNALS: Record<Signal, NodeJS.Signals> = {
  [Signal.Stop]: 'SIGTERM',
  [Signal.Kill]: 'SIGKILL',
  [Signal.Freeze]: 'SIGSTOP',
  [Signal.Thaw]: 'SIGCONT'
}

/** @returns how many processes of this runner have not ended */
export function countChildren (): number {
  return children.size
}

/** Ends every process that was started and still runs. Also called when the runner itself ends. */
export function endChildren (): void {
  for (const child of children) child.signal(Signal.Kill)
}

process.once('exit', endChildren)
for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(name, () => process.exit(1))
}
