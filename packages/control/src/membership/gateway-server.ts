/**
 * Makes calls to workers for the owner on another node.
 */
import type { Command, Disconnect } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, ok, type Result } from 'neverthrow'
import type { Report, RunOutcome } from '../model/worker.js'
import { WorkerFailure, type Fleet } from '../ports/fleet.js'

/** A report as it is sent between nodes. Its rows are lists without names of fields, since reports are most of the bytes. */
export type CompactReport = readonly [
  born: number,
  clockMs: number,
  running: ReadonlyArray<readonly [task: string, run: number, checkpoint: string, percent: number, load: number]>,
  ended: ReadonlyArray<readonly [position: number, task: string, run: number, ending: RunOutcome, checkpoint: string]>
]

/** The result of a call that a gateway made: the worker's clock for most commands, a report, or why the call failed. */
export type Commanded = number | CompactReport | WorkerFailure

/** Serves the commands of an owner on another node. */
export class GatewayServer {
  /** Number of calls that are in progress. */
  open = 0

  constructor (private readonly fleet: Fleet, private readonly isLeaving: () => boolean) {}

  /** Makes a call to a worker. */
  async command (request: Command): Promise<Result<Commanded, Refusal>> {
    if (this.isLeaving()) return err(refuse(Reason.Leaving, 'This node is stopping and makes no new calls to workers.', 0))
    const call = this.call(request)
    if (call === undefined) return err(refuse(Reason.Malformed, 'The request contains no command.'))
    this.open++
    const result = await call
    this.open--
    return ok(result.isOk() ? result.value : result.error)
  }

  /** Closes the connections to a worker. */
  disconnect (request: Disconnect): Result<true, Refusal> {
    this.fleet.closeConnections(request.worker)
    return ok(true)
  }

  private call ({ worker, start, stop, throttle, report }: Command): Promise<Result<Commanded, WorkerFailure>> | undefined {
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
    ({ task, run, checkpoint, percent, load }) => [task, run, checkpoint, percent, load] as const)
  const ended = report.ended.map(
    ({ position, task, run, ending, checkpoint }) => [position, task, run, ending, checkpoint] as const)
  return [report.born, report.clockMs, running, ended]
}

/** Converts a report back from the form in which it was sent. */
export function expandReport ([born, clockMs, running, ended]: CompactReport): Report {
  return {
    born,
    clockMs,
    running: running.map(([task, run, checkpoint, percent, load]) => ({ task, run, checkpoint, percent, load })),
    ended: ended.map(([position, task, run, ending, checkpoint]) => ({ position, task, run, ending, checkpoint }))
  }
}
