/**
 * Reads a journal's stream into a replay.
 */
import { err, ok, type Result } from 'neverthrow'
import type { Clock } from './clock.js'
import { PartCodec, type Envelope, type Part } from './envelope.js'
import type { Fold } from './journal.js'
import { LogFailure, type Log, type LogError, type LogPage } from './log.js'
import { Replay } from './replay.js'
import { findSnapshot } from './retained.js'
import { limitTime, type Patience } from './retry.js'
import type { Tally } from './tally.js'

/** What a reader works on. */
export interface ReaderOptions {
  readonly log: Log
  readonly stream: string
  readonly clock: Clock
  readonly fold: Fold
  readonly patience: Patience
  readonly tally: Tally
}

/** The reading side of a journal. */
export class Reader {
  readonly replay: Replay
  /** Clock time at which the last read was sent that reached the end of the stream. */
  confirmedAtMs = -Infinity
  private restarting: Promise<Result<boolean, LogError>> | undefined
  private readonly watches = new Set<() => void>()

  constructor (private readonly options: ReaderOptions) {
    this.replay = new Replay(options)
  }

  /**
   * Waits until a condition holds, looking after each record.
   *
   * @param check the condition
   * @param signal ends the wait early
   * @returns a promise that resolves when the condition holds
   */
  until (check: () => boolean, signal: AbortSignal): Promise<undefined> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.watches.delete(look)
        signal.removeEventListener('abort', finish)
        resolve(undefined)
      }
      const look = (): void => {
        if (check()) finish()
      }
      signal.addEventListener('abort', finish, { once: true })
      this.watches.add(look)
      look()
    })
  }

  /**
   * Reads once. Starts over from the newest whole snapshot if the offset expired.
   *
   * @param waitMs how long the service holds the read open while there is nothing new
   * @param signal ends the read early
   * @returns true if the end of the stream was reached
   */
  async read (waitMs: number, signal?: AbortSignal): Promise<Result<boolean, LogError>> {
    if (this.restarting !== undefined) return await this.restarting
    const sentMs = this.options.clock.now()
    const from = this.replay.position
    const page = await this.fetch(from, waitMs, signal)
    if (page.isErr()) {
      if (page.error.failure !== LogFailure.Expired) return err(page.error)
      if (this.replay.position !== from) return ok(false)
      return await this.restart(page.error.earliest ?? 0)
    }
    this.replay.take(page.value.records)
    this.wake()
    if (page.value.records.length > 0) return ok(false)
    this.confirm(sentMs)
    return ok(true)
  }

  /**
   * Reads to the end of the stream.
   *
   * @returns the first failure, if any
   */
  async catchUp (): Promise<Result<void, LogError>> {
    for (;;) {
      const read = await this.read(0)
      if (read.isErr()) return err(read.error)
      if (read.value) return ok(undefined)
    }
  }

  /**
   * Takes a record that this process appended itself, without reading it back. Does nothing if records before it
   * were not read yet.
   *
   * @param offset offset that the append returned
   * @param data the record
   * @param sentMs clock time at which the append was sent
   */
  takeOwn (offset: number, data: Envelope, sentMs: number): void {
    if (offset !== this.replay.position) return
    this.replay.fold(data, offset)
    this.confirm(sentMs)
    this.wake()
  }

  private confirm (sentMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, sentMs)
  }

  private wake (): void {
    for (const look of this.watches) look()
  }

  private async fetch (from: number, waitMs: number, signal?: AbortSignal): Promise<Result<LogPage, LogError>> {
    const { log, stream, patience, tally } = this.options
    const page = await limitTime((limit) => log.read(stream, from, waitMs, limit), waitMs + patience.readMs, signal)
    if (signal?.aborted !== true) tally.available = page.isOk()
    if (page.isOk()) tally.bytesRead += JSON.stringify(page.value.records).length
    return page
  }

  private restart (earliest: number): Promise<Result<boolean, LogError>> {
    this.restarting ??= this.scan(earliest).finally(() => { this.restarting = undefined })
    return this.restarting
  }

  private async scan (oldest: number): Promise<Result<boolean, LogError>> {
    const found = await findSnapshot({ fetch: (from) => this.fetch(from, 0), parse: parsePart }, oldest)
    if (found.isErr()) return err(found.error)
    this.replay.startOver(found.value)
    this.wake()
    return ok(false)
  }
}

function parsePart (data: unknown): Part | undefined {
  const part = PartCodec.decode(data)
  return part.isRight() ? part.extract() as Part : undefined
}
