/**
 * Refuses jobs of queues whose backlog cannot be worked off in time, by what the owner last announced.
 */
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import type { Clock, Stamp } from '../clock.js'

/** An announcement older than this says nothing any more. */
const ANNOUNCEMENT_AGE_MS = 3000
/** Longest time after which a caller is told to come back. */
const RETRY_MAX_MS = 20_000

/** What the owner says of a queue. */
export interface QueuePressure {
  readonly queue: string
  /** Time until work accepted now would be of no use to its caller; refused if the backlog takes longer. */
  readonly backlogMs: number
  /** Time after which the backlog is short enough again. */
  readonly drainMs: number
}

/** Keeps the owner's announcement. */
export class Gate {
  private pressures = new Map<string, QueuePressure>()
  private heardAt: Stamp | undefined

  constructor (private readonly clock: Clock) {}

  /** Takes over an announcement: the queues that refuse. */
  announce (pressures: readonly QueuePressure[]): void {
    this.heardAt = this.clock.stamp()
    this.pressures = new Map(pressures.map((pressure) => [pressure.queue, pressure]))
  }

  /** The refusal of a queue's next job, or undefined if it is taken. */
  check (queue: string): Refusal | undefined {
    const pressure = this.pressures.get(queue)
    if (pressure === undefined || this.heardAt === undefined) return undefined
    if (this.clock.ageOf(this.heardAt) > ANNOUNCEMENT_AGE_MS) return undefined
    const detail = `The backlog of the queue takes ${Math.round(pressure.backlogMs / 1000)} s, longer than a job may take.`
    return refuse(Reason.DeadlineUnreachable, detail, Math.min(RETRY_MAX_MS, Math.max(1000, pressure.drainMs)))
  }
}
