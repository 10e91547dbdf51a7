/**
 * The log of decisions and events: structured lines on standard output. It is rate limited and never blocks the process.
 */
import { destination, pino, type Logger } from 'pino'

/** Maximum number of decisions, and of events, per second. Lines beyond it are dropped, and their count is logged in one line. */
const MAX_LINES_PER_SECOND = 400
/** Lines are buffered up to this size, or for FLUSH_INTERVAL_MS. */
const BUFFER_BYTES = 8192
const FLUSH_INTERVAL_MS = 500
/** Maximum number of buffered bytes while the reader is slow. Lines beyond it are dropped. */
const MAX_BACKLOG_BYTES = 512 * 1024
/** Number of lines of an error's stack, with its message, that a log line holds. */
const ERROR_STACK_LINES = 4

/**
 * Describes an unexpected error for a log line: its message and where it was thrown.
 *
 * @param error whatever was thrown
 */
export function describeError (error: unknown): string {
  if (!(error instanceof Error)) return String(error)
  return (error.stack ?? error.message).split('\n').slice(0, ERROR_STACK_LINES).map((line) => line.trim()).join(' | ')
}

/** Log of a node. */
export abstract class Log {
  /** Logs a decision on a request or a task. */
  abstract decision (name: string, fields: Record<string, unknown>): void
  /** Logs a change of the node's state: start, stop, availability of a dependency, ownership or configuration. */
  abstract event (name: string, fields: Record<string, unknown>): void
}

/** Discards all lines. */
export class SilentLog extends Log {
  override decision (): void {}
  override event (): void {}
}

/** Writes JSON lines to standard output. */
export class StandardLog extends Log {
  private readonly logger: Logger
  private readonly output: ReturnType<typeof destination>
  private windowStartMs = 0
  private decisions = 0
  private events = 0
  private dropped = 0

  /**
   * @param node name of the node, part of each line
   * @param level minimum level of the lines that are written
   * @param file file descriptor to write to
   */
  constructor (node: string, level: string, file = 1) {
    super()
    this.output = destination({ fd: file, sync: false, minLength: BUFFER_BYTES, maxLength: MAX_BACKLOG_BYTES })
    this.output.on('drop', () => { this.dropped++ })
    this.logger = pino({ level, base: { node } }, this.output)
    setInterval(() => { this.output.flush() }, FLUSH_INTERVAL_MS).unref()
  }

  override decision (name: string, fields: Record<string, unknown>): void {
    this.rotateWindow()
    this.write(++this.decisions, name, fields)
  }

  override event (name: string, fields: Record<string, unknown>): void {
    this.rotateWindow()
    this.write(++this.events, name, fields)
  }

  /** Flushes the buffered lines; call it before the process exits. */
  close (): void {
    this.output.flushSync()
  }

  private write (count: number, name: string, fields: Record<string, unknown>): void {
    if (count <= MAX_LINES_PER_SECOND) this.logger.info(fields, name)
    else this.dropped++
  }

  private rotateWindow (): void {
    const nowMs = performance.now()
    if (nowMs - this.windowStartMs < 1000) return
    if (this.dropped > 0) this.logger.warn({ dropped: this.dropped }, 'log lines dropped')
    this.windowStartMs = nowMs
    this.decisions = 0
    this.events = 0
    this.dropped = 0
  }
}
