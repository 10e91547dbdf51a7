/**
 * Detects lost workers from the platform's list of machines, long before their leases expire.
 */
import type { Clock } from '../clock.js'
import { MachineState, type Machine, type Machines } from '../ports/machines.js'
import type { Session } from './session.js'

/** Time between two requests for the list while workers do not answer. */
const POLL_INTERVAL_MS = 700
/**
 * A worker is checked once it has not answered for this long. The platform's list is out of date by at most this time, so it
 * shows the state of the machine after the worker stopped answering.
 */
const MIN_SILENCE_MS = 1200

/** Polls the list of machines, but only while workers with runs do not answer, because each request costs a call to the platform. */
export class WorkerLossDetector {
  private polledMs = -Infinity
  private polling = false

  constructor (private readonly machines: Machines, private readonly clock: Clock) {}

  /** Declares a worker lost if it does not answer and its machine is down or runs another worker. */
  async tick (sessions: Iterable<Session>): Promise<void> {
    const nowMs = this.clock.now()
    if (this.polling || nowMs - this.polledMs < POLL_INTERVAL_MS) return
    const silent = [...sessions].filter((session) => session.runs.size > 0 && session.silentMs() > MIN_SILENCE_MS)
    if (silent.length === 0) return
    this.polling = true
    this.polledMs = nowMs
    const listed = await this.machines.list()
    this.polling = false
    if (listed.isErr()) return
    const byName = new Map(listed.value.map((machine) => [machine.name, machine]))
    for (const session of silent) {
      const machine = byName.get(session.worker.machine)
      if (machine === undefined || session.silentMs() <= MIN_SILENCE_MS) continue
      if (hasWorkerEnded(machine, session.id)) session.declareLost('The machine of the worker is down or runs another worker.')
    }
  }
}

/**
 * Returns true if the entry of a machine proves that a worker has ended. The states `Moving` and `Maintenance` do not count as
 * proof.
 *
 * @param machine the machine on which the worker was started
 * @param worker the worker's id
 */
export function hasWorkerEnded (machine: Machine, worker: string): boolean {
  if (machine.state === MachineState.Down) return true
  return machine.state === MachineState.Up && machine.worker !== '' && machine.worker !== worker
}
