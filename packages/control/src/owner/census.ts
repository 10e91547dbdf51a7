/**
 * Finds out from the platform's list of machines which silent workers are gone, long before their leases lapse.
 */
import type { Clock } from '../clock.js'
import { MachineState, type Machine, type Machines } from '../ports/machines.js'
import type { Session } from './session.js'

/** Time between two looks at the list while workers are silent. */
const LOOK_INTERVAL_MS = 700
/** A worker counts as silent after this time: the list lags behind by less. */
const SILENT_MS = 1200

/** Looks at the list when it is worth its price. */
export class Census {
  private lookedMs = -Infinity
  private looking = false

  constructor (private readonly machines: Machines, private readonly clock: Clock) {}

  /** Declares the runs of workers lost whose machines are down, or have another worker. */
  async tick (sessions: Iterable<Session>): Promise<void> {
    const nowMs = this.clock.now()
    if (this.looking || nowMs - this.lookedMs < LOOK_INTERVAL_MS) return
    const silent = [...sessions].filter((session) => session.runs.size > 0 && session.silentMs() > SILENT_MS)
    if (silent.length === 0) return
    this.looking = true
    this.lookedMs = nowMs
    const listed = await this.machines.list()
    this.looking = false
    if (listed.isErr()) return
    const byName = new Map(listed.value.map((machine) => [machine.name, machine]))
    for (const session of silent) {
      const machine = byName.get(session.worker.machine)
      if (machine === undefined || session.silentMs() <= SILENT_MS) continue
      if (isGone(machine, session.id)) session.lose('The machine of the worker is down or has another worker.')
    }
  }
}

/**
 * Tells whether a machine's entry proves that a worker has ended.
 *
 * @param machine the machine that the worker was one life of
 * @param worker the worker's id
 */
export function isGone (machine: Machine, worker: string): boolean {
  if (machine.state === MachineState.Down) return true
  return machine.state === MachineState.Up && machine.worker !== '' && machine.worker !== worker
}
