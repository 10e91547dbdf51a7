/**
 * A child process of this process. It is killed at the latest when this process exits.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { appendFileSync } from 'node:fs'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { err, ok, type Result } from 'neverthrow'
import { Signal } from '../language/syntax-tree.js'

const READY_TIMEOUT_MS = 10_000
const EXIT_TIMEOUT_MS = 5_000
const MAX_LAST_LINES = 5
const MAX_LINE_LENGTH = 300

const children = new Set<Child>()

/** One child process. */
export class Child {
  private readonly process: ChildProcess
  private readonly lastLines: string[] = []
  /** True once the process was told to stop or was killed: its exit is then not a crash. */
  exitExpected = false

  /**
   * Starts a process.
   *
   * @param name name of the process in error messages
   * @param args arguments of Node.js: the program and its options
   * @param logFile file to which its standard error is appended
   */
  constructor (readonly name: string, args: readonly string[], private readonly logFile: string) {
    // io_uring is not supported: the daemon refuses to start while UV_USE_IO_URING is 1.
    this.process = spawn(process.execPath, [...args], { stdio: ['pipe', 'pipe', 'pipe'], env: { ...process.env, UV_USE_IO_URING: '0' } })
    this.process.stdin?.on('error', () => {})
    this.process.stderr?.on('data', (bytes: Buffer) => this.onErrorOutput(bytes))
    children.add(this)
    this.process.once('exit', () => children.delete(this))
  }

  /** Waits for the JSON line that the process prints once it is ready. */
  async waitUntilReady (): Promise<Result<unknown, string>> {
    const lines = createInterface({ input: this.process.stdout! })
    const timeout = AbortSignal.timeout(READY_TIMEOUT_MS)
    const exitedOrTimedOut = new Promise<undefined>((resolve) => {
      this.process.once('exit', () => resolve(undefined))
      timeout.addEventListener('abort', () => resolve(undefined), { once: true })
    })
    const line = await Promise.race([new Promise<string>((resolve) => lines.once('line', resolve)), exitedOrTimedOut])
    if (line !== undefined) return ok(JSON.parse(line) as unknown)
    return err(`"${this.name}" did not become ready (${this.exit() ?? 'still running'}): ${this.lastOutput()}`)
  }

  /** The process id; zero if the process was not spawned. */
  id (): number {
    return this.process.pid ?? 0
  }

  /** Exit code, or the name of the signal that ended the process; undefined while it runs. */
  exit (): number | string | undefined {
    return this.process.exitCode ?? this.process.signalCode ?? undefined
  }

  /** The last lines of the standard error. */
  lastOutput (): string {
    return this.lastLines.join(' | ')
  }

  /**
   * Waits until a process that was told to stop or killed has exited. Returns false if it still runs: after
   * a timeout, or immediately if it was neither told to stop nor killed.
   */
  async waitForExit (): Promise<boolean> {
    if (this.exit() !== undefined) return true
    if (!this.exitExpected) return false
    const timeout = AbortSignal.timeout(EXIT_TIMEOUT_MS)
    await once(this.process, 'exit', { signal: timeout }).catch(() => {})
    return this.exit() !== undefined
  }

  /** Sends a signal to this process, but not to its process group. */
  signal (signal: Signal): void {
    if (this.exit() !== undefined) return
    if (signal === Signal.Stop || signal === Signal.Kill) this.exitExpected = true
    this.process.kill(SIGNALS[signal])
  }

  /** Kills the process, even if it is frozen, and waits until it has exited. */
  async kill (): Promise<void> {
    if (this.exit() !== undefined) return
    this.exitExpected = true
    const exited = once(this.process, 'exit')
    this.process.kill('SIGKILL')
    await exited
  }

  private onErrorOutput (bytes: Buffer): void {
    appendFileSync(this.logFile, bytes)
    for (const line of bytes.toString().split('\n')) {
      if (line.length === 0) continue
      this.lastLines.push(line.slice(0, MAX_LINE_LENGTH))
      if (this.lastLines.length > MAX_LAST_LINES) this.lastLines.shift()
    }
  }
}

const SIGNALS: Record<Signal, NodeJS.Signals> = {
  [Signal.Stop]: 'SIGTERM',
  [Signal.Kill]: 'SIGKILL',
  [Signal.Freeze]: 'SIGSTOP',
  [Signal.Thaw]: 'SIGCONT'
}

/** @returns the number of child processes that have not exited */
export function countChildren (): number {
  return children.size
}

/** Kills every child process that still runs. Also called when the runner itself exits. */
export function killChildren (): void {
  for (const child of children) child.signal(Signal.Kill)
}

process.once('exit', killChildren)
for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(name, () => process.exit(1))
}
