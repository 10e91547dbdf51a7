/**
 * The log of decisions and events: structured lines on standard output, bounded in volume, never waited for.
 */
import { destination, pino, type Logger } from 'pino'

/** Lines of each kind that are logged in one second; more are counted and reported as one line. */
const LINES_A_SECOND = 400
/** Lines are written together once they reach this size, or after FLUSH_MS. */
const BUFFER_BYTES = 8192
const FLUSH_MS = 500
/** Bytes that may wait for a slow reader; lines beyond are dropped. */
const BACKLOG_BYTES = 512 * 1024

/** Writes lines. */
export abstract class Log {
  /** Something that touches a request. Bounded: what exceeds the bound is counted. */
  abstract decision (name: string, fields: Record<string, unknown>): void
  /** A change of what the process believes: start, stop, a dependency, ownership, configuration. Bounded by itself. */
  abstract event (name: string, fields: Record<string, unknown>): void
}

/** Drops everything. */
export class SilentLog extends Log {
  override decision (): void {}
  override event (): void {}
}

/** Writes to standard output. */
export class StandardLog extends Log {
  private readonly logger: Logger
  private readonly output: ReturnType<typeof destination>
  private windowMs = 0
  private decisions = 0
  private events = 0
  private dropped = 0

  /**
   * @param file descriptor to write to
   */
  constructor (node: string, level: string, file = 1) {
    super()
    this.output = destination({ fd: file, sync: false, minLength: BUFFER_BYTES, maxLength: BACKLOG_BYTES })
    this.output.on('drop', () => { this.dropped++ })
    this.logger = pino({ level, base: { node } }, this.output)
    setInterval(() => { this.output.flush() }, FLUSH_MS).unref()
  }

  override decision (name: string, fields: Record<string, unknown>): void {
    this.openWindow()
    this.write(++this.decisions, name, fields)
  }

  override event (name: string, fields: Record<string, unknown>): void {
    this.openWindow()
    this.write(++this.events, name, fields)
  }

  /** Writes what is buffered, before the process exits. */
  close (): void {
    this.output.flushSync()
  }

  private write (count: number, name: string, fields: Record<string, unknown>): void {
    if (count <= LINES_A_SECOND) this.logger.info(fields, name)
    else this.dropped++
  }

  private openWindow (): void {
    const nowMs = performance.now()
    if (nowMs - this.windowMs < 1000) return
    if (this.dropped > 0) this.logger.warn({ dropped: this.dropped }, 'log lines dropped')
    this.windowMs = nowMs
    this.decisions = 0
    this.events = 0
    this.dropped = 0
  }
}
