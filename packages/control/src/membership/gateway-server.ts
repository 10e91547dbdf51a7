/**
 * Makes calls to workers for the owner on another node.
 */
import type { Command, Disconnect } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import { RunOutcome, type Report } from '../model/worker.js'
import { WorkerFailure, type Fleet } from '../ports/fleet.js'

/** A report as it is sent between nodes. Its rows are lists without names of fields, since reports are most of the bytes. */
export type CompactReport = readonly [
  born: number,
  clockMs: number,
  running: ReadonlyArray<readonly [task: string, run: number, checkpoint: string, progress: number, load: number]>,
  ended: ReadonlyArray<readonly [position: number, task: string, run: number, ending: RunOutcome, checkpoint: string]>
]

/** Maximum number of addresses for which the worker that was called last is known. */
const MAX_LAST_WORKERS = 20_000
const OUTCOMES: ReadonlySet<unknown> = new Set(Object.values(RunOutcome))

/** The result of a call that a gateway made: the worker's clock for most commands, a report, or why the call failed. */
export type Commanded = number | CompactReport | WorkerFailure

/** Serves the commands of an owner on another node. */
export class GatewayServer {
  /** Number of calls that are in progress. */
  open = 0
  /** The worker that was called last at each address; the least recently called one first. */
  private readonly lastWorkers = new Map<string, Command['worker']>()

  constructor (private readonly fleet: Fleet, private readonly isLeaving: () => boolean) {}

  /** Makes a call to a worker. */
  async command (request: Command): Promise<Result<Commanded, Refusal>> {
    if (this.isLeaving()) return err(refuse(Reason.Leaving, 'This node is stopping and makes no new calls to workers.', 0))
    const call = this.call(request)
    if (call === undefined) return err(refuse(Reason.Malformed, 'The request contains no command.'))
    this.open++
    try {
      const result = await call
      return ok(result.isOk() ? result.value : result.error)
    } finally {
      this.open--
    }
  }

  /** Closes the connections to a worker, unless another worker or a later incarnation has been called at its address since. */
  disconnect ({ worker }: Disconnect): Result<true, Refusal> {
    const last = this.lastWorkers.get(worker.address)
    if (last !== undefined && (last.id !== worker.id || last.born > worker.born)) return ok(true)
    this.lastWorkers.delete(worker.address)
    this.fleet.closeConnections(worker)
    return ok(true)
  }

  private noteWorker (worker: Command['worker']): void {
    this.lastWorkers.delete(worker.address)
    this.lastWorkers.set(worker.address, worker)
    const oldest = this.lastWorkers.keys().next()
    if (this.lastWorkers.size > MAX_LAST_WORKERS && oldest.done !== true) this.lastWorkers.delete(oldest.value)
  }

  private call ({ worker, start, stop, throttle, report }: Command): Promise<Result<Commanded, WorkerFailure>> | undefined {
    this.noteWorker(worker)
    if (start !== undefined) return this.fleet.start(worker, start)
    if (stop !== undefined) return this.fleet.stop(worker, stop)
    if (throttle !== undefined) return this.fleet.throttle(worker, throttle, throttle.percent)
    if (report === undefined) return undefined
    return this.fleet.requestReport(worker, { ...report, deadlineMs: report.deadlineMs })
      .then((answer) => answer.map(compactReport))
  }
}

/** Converts a report to the form in which it is sent. */
export function compactReport (report: Report): CompactReport {
  const running = report.running.map(
    ({ task, run, checkpoint, progress, load }) => [task, run, checkpoint, progress, load] as const)
  const ended = report.ended.map(
    ({ position, task, run, ending, checkpoint }) => [position, task, run, ending, checkpoint] as const)
  return [report.born, report.clockMs, running, ended]
}

/**
 * Converts a report back from the form in which it was sent.
 *
 * @param answer the answer of another node
 * @returns the report, or undefined if the answer is none
 */
export function expandReport (answer: unknown): Report | undefined {
  if (!isCompactReport(answer)) return undefined
  const [born, clockMs, running, ended] = answer
  return {
    born,
    clockMs,
    running: running.map(([task, run, checkpoint, progress, load]) => ({ task, run, checkpoint, progress, load })),
    ended: ended.map(([position, task, run, ending, checkpoint]) => ({ position, task, run, ending, checkpoint }))
  }
}

function isCompactReport (answer: unknown): answer is CompactReport {
  if (!Array.isArray(answer)) return false
  const [born, clockMs, running, ended] = answer as unknown[]
  if (!Number.isFinite(born) || !Number.isFinite(clockMs) || !Array.isArray(running) || !Array.isArray(ended)) return false
  return running.every(isActiveRow) && ended.every(isEndedRow)
}

function isActiveRow (row: unknown): boolean {
  if (!Array.isArray(row)) return false
  const [task, run, checkpoint, progress, load] = row as unknown[]
  return typeof task === 'string' && Number.isSafeInteger(run) && typeof checkpoint === 'string' &&
    Number.isFinite(progress) && Number.isFinite(load)
}

function isEndedRow (row: unknown): boolean {
  if (!Array.isArray(row)) return false
  const [position, task, run, ending, checkpoint] = row as unknown[]
  return Number.isSafeInteger(position) && typeof task === 'string' && Number.isSafeInteger(run) &&
    OUTCOMES.has(ending) && typeof checkpoint === 'string'
}
