/**
 * The record of everything that ran on a stand-in worker, for independent checkers.
 */
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Resources } from '@fireflymount/protocol/resources'

/** Most entries that one worker keeps. */
const RECORD_LIMIT = 1_000_000

/** Most entries in one answer. */
const PAGE_ENTRIES = 5_000

const NANOSECONDS_PER_MS = 1e6

/** What happened. */
export enum Event {
  Boot = 'boot',
  Adopt = 'adopt',
  Start = 'start',
  /** The task ended by itself. */
  End = 'end',
  /** The worker stopped the task because its lease lapsed. */
  Lapse = 'lapse',
  /** The owner stopped the task. */
  Stop = 'stop',
  /** The worker died or restarted while the task or request ran. */
  Lost = 'lost',
  RequestStart = 'request-start',
  RequestEnd = 'request-end',
  /** A command had no effect. */
  Refused = 'refused'
}

/** The parts of an entry that depend on the event. */
export interface EventFields {
  readonly epoch?: Epoch
  /** The task's or the request's id. */
  readonly task?: string
  readonly attempt?: number
  readonly team?: string
  readonly kind?: string
  readonly size?: Resources
  /** Value of the body that comes back with the answer, by which a checker knows whose work it is. */
  readonly echo?: unknown
  /** How the task or request ended, or why the command was refused. */
  readonly outcome?: string
}

/** One entry. */
export interface RecordEntry extends EventFields {
  readonly seq: number
  readonly event: Event
  readonly worker: string
  readonly boot: string
  /** Milliseconds of the machine's monotonic clock, comparable between processes of one machine. */
  readonly monotonicMs: number
  readonly wallMs: number
}

/** A page of entries. */
export interface RecordPage {
  readonly entries: readonly RecordEntry[]
  readonly next: number
  /** Entries that were not kept. A checker must not pass if there are any. */
  readonly dropped: number
}

/** Append-only record of one worker. */
export class Record {
  private readonly entries: RecordEntry[] = []
  private dropped = 0
  /** Boot id of the worker. */
  boot = ''

  /** @param worker the worker's id */
  constructor (private readonly worker: string) {}

  /** Adds an entry with the present time. */
  add (event: Event, fields: EventFields, boot = this.boot): void {
    if (this.entries.length >= RECORD_LIMIT) {
      this.dropped += 1
      return
    }
    this.entries.push({
      seq: this.entries.length,
      event,
      worker: this.worker,
      boot,
      monotonicMs: Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS,
      wallMs: Date.now(),
      ...fields
    })
  }

  /** @returns the entries from a sequence number on */
  page (from: number): RecordPage {
    const entries = this.entries.slice(from, from + PAGE_ENTRIES)
    return { entries, next: from + entries.length, dropped: this.dropped }
  }
}
