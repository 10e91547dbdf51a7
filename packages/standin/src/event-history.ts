/**
 * Records the events of a stand-in worker, so that checkers can verify independently what ran.
 */
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Resources } from '@fireflymount/protocol/resources'

/** Bounds the memory of one worker's event history. Further entries are dropped and counted. */
const MAX_ENTRIES = 1_000_000

const MAX_PAGE_ENTRIES = 5_000

const NANOSECONDS_PER_MS = 1e6

/** The kind of an event. */
export enum Event {
  Boot = 'boot',
  Adopt = 'adopt',
  Start = 'start',
  /** The task completed: it succeeded or failed. */
  End = 'end',
  /** The worker stopped the task because its lease expired. */
  Expire = 'lapse',
  /** The owner stopped the task. */
  Stop = 'stop',
  /** The worker restarted while the task or request ran. */
  Lost = 'lost',
  RequestStart = 'request-start',
  RequestEnd = 'request-end',
  /** The worker refused a command or request, which had no effect. */
  Refused = 'refused'
}

/** The fields of an entry that depend on the event. */
export interface EventFields {
  readonly epoch?: Epoch
  /** Id of the task or request. For a refused `adopt` or `renew`, which concern no single task: the command's name. */
  readonly task?: string
  readonly attempt?: number
  readonly team?: string
  readonly kind?: string
  readonly size?: Resources
  /** Field `echo` of the body, which is returned in the result. A checker identifies the work by it. */
  readonly echo?: unknown
  /** Final state of the task or request, or the reason for a refusal. */
  readonly outcome?: string
}

/** One recorded event. */
export interface EventEntry extends EventFields {
  readonly seq: number
  readonly event: Event
  readonly worker: string
  readonly boot: string
  /** Milliseconds of the machine's monotonic clock, comparable between processes on the same machine. */
  readonly monotonicMs: number
  readonly wallMs: number
}

/** A page of entries. */
export interface EventPage {
  readonly entries: readonly EventEntry[]
  readonly next: number
  /** Number of entries dropped. A checker must not pass if it is above 0. */
  readonly dropped: number
}

/** Append-only history of the events of one worker. */
export class EventHistory {
  private readonly entries: EventEntry[] = []
  private dropped = 0
  /** Current boot id of the worker. */
  boot = ''

  /** @param worker the worker's id */
  constructor (private readonly worker: string) {}

  /**
   * Adds an entry.
   *
   * @param agoMs how long ago the event occurred
   */
  add (event: Event, fields: EventFields, boot = this.boot, agoMs = 0): void {
    if (this.entries.length >= MAX_ENTRIES) {
      this.dropped += 1
      return
    }
    this.entries.push({
      seq: this.entries.length,
      event,
      worker: this.worker,
      boot,
      monotonicMs: Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS - agoMs,
      wallMs: Date.now() - agoMs,
      ...fields
    })
  }

  /** @returns a page of entries that starts at a sequence number */
  page (from: number): EventPage {
    const entries = this.entries.slice(from, from + MAX_PAGE_ENTRIES)
    return { entries, next: from + entries.length, dropped: this.dropped }
  }
}
