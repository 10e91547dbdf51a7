/**
 * Detects lost workers from the platform's list of machines, long before their leases expire.
 */
import type { Clock } from '../clock.js'
import { MachineState, type Machine, type Machines } from '../ports/machines.js'
import { MAX_MISSING_MS } from './registry.js'
import type { Session } from './session.js'

/** Time between two requests for the list while workers do not answer. */
const POLL_INTERVAL_MS = 700
/**
 * A worker is checked once it has not answered for this long. The platform's list is out of date by at most this time, so it
 * shows the state of the machine after the worker stopped answering.
 */
const MIN_SILENCE_MS = 1200

/** A session whose worker did not answer when the list was requested. */
interface SilentSession {
  readonly session: Session
  readonly born: number
  readonly lastAnswerMs: number
}

/** How it is known that a worker has ended. */
interface Loss {
  readonly reason: string
  /** True if it cannot start again under its id: its machine, or each machine, runs another worker. */
  readonly isFinal: boolean
}

/** Polls the list of machines, but only while workers with runs do not answer, because each request costs a call to the platform. */
export class WorkerLossDetector {
  private polledMs = -Infinity
  private polling = false

  /** @param missingMs how long a worker is known to have had no registry entry */
  constructor (
    private readonly machines: Machines,
    private readonly clock: Clock,
    private readonly missingMs: (worker: string) => number
  ) {}

  /** Declares a worker lost if it does not answer and the list of machines proves that it has ended. */
  async tick (sessions: Iterable<Session>): Promise<void> {
    const nowMs = this.clock.now()
    if (this.polling || nowMs - this.polledMs < POLL_INTERVAL_MS) return
    const silent: SilentSession[] = []
    for (const session of sessions) {
      if (session.runs.size === 0 || session.silentMs() <= MIN_SILENCE_MS) continue
      silent.push({ session, born: session.born, lastAnswerMs: session.lastAnswerMs })
    }
    if (silent.length === 0) return
    this.polling = true
    this.polledMs = nowMs
    const listed = await this.machines.list()
    this.polling = false
    if (listed.isErr()) return
    for (const { session, born, lastAnswerMs } of silent) {
      // The list may be from before a restart or an answer of the worker.
      if (session.silentMs() <= MIN_SILENCE_MS || session.born !== born || session.lastAnswerMs !== lastAnswerMs) continue
      const loss = this.findLoss(session, listed.value)
      if (loss !== undefined) session.declareLost(loss.reason, loss.isFinal)
    }
  }

  /** Returns how a list of machines proves that a worker has ended, or undefined. */
  private findLoss ({ id, worker }: Session, machines: readonly Machine[]): Loss | undefined {
    // The machine is unknown if the worker had no registry entry any more when this owner took over.
    const known = machines.find(({ name }) => name !== '' && name === worker.machine)
    const machine = known ?? machines.find(({ worker: listed }) => listed === id)
    if (machine !== undefined) {
      if (!hasWorkerEnded(machine, id)) return undefined
      return { reason: 'The machine of the worker is down or runs another worker.', isFinal: runsAnotherWorker(machine, id) }
    }
    if (this.missingMs(id) <= MAX_MISSING_MS || !runOtherWorkers(machines)) return undefined
    const isFinal = machines.every(({ state }) => state === MachineState.Up)
    return { reason: 'The worker has no registry entry, and no machine runs it.', isFinal }
  }
}

/** Returns true if it is known of all machines that are not down which workers they run. */
function runOtherWorkers (machines: readonly Machine[]): boolean {
  return machines.length > 0 && machines.every(({ state, worker }) => state === MachineState.Down || worker !== '')
}

/**
 * Returns true if the entry of a machine proves that a worker has ended. The states `Moving` and `Maintenance` do not count as
 * proof.
 *
 * @param machine the machine on which the worker was started
 * @param worker the worker's id
 */
export function hasWorkerEnded (machine: Machine, worker: string): boolean {
  return machine.state === MachineState.Down || runsAnotherWorker(machine, worker)
}

function runsAnotherWorker (machine: Machine, worker: string): boolean {
  return machine.state === MachineState.Up && machine.worker !== '' && machine.worker !== worker
}
