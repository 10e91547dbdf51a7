/**
 * What the owner does from time to time: empties draining workers, begins stalled tasks elsewhere, paces best-effort tasks,
 * and tells the nodes which queues are to refuse.
 */
import type { Resources } from '@fireflymount/protocol/resources'
import type { Clock } from '../clock.js'
import { detach } from '../detach.js'
import type { QueuePressure } from '../entry/gate.js'
import { Stage } from '../journal/record.js'
import type { JobEntry, Table } from '../journal/table.js'
import type { Configuration } from '../model/configuration.js'
import { chainMsOf, occurrencesOf, type Step } from '../model/job.js'
import { findPressures, type QueueLoad } from '../place/backlog.js'
import { dominantShareOf } from '../place/limit.js'
import { nextPace } from '../place/pace.js'
import type { SpeedBook } from '../place/speed.js'
import type { Log } from '../report/log.js'
import { chooseLeaving } from './evacuation.js'
import type { Ledger } from './ledger.js'
import { totalOf } from './pool.js'
import { RunState, StopReason, type Run } from './run.js'
import type { Session } from './session.js'

/** Time between two looks at paces and backlogs. */
const SLOW_INTERVAL_MS = 500
/** Runs of a task after which it is left where it is, however long it takes. */
const STALL_RUNS_MAX = 4
/** A task whose checkpoint has changed within this time is at work. */
const PROGRESS_MS = 2500
/** Room of an upstream in the unit of its own total. */
const WHOLE = 1

/** What the caretaker works with. */
export interface CaretakerParts {
  readonly table: Table
  readonly ledger: Ledger
  readonly sessions: ReadonlyMap<string, Session>
  readonly speeds: SpeedBook
  readonly configuration: () => Configuration
  readonly clock: Clock
  /** Longest time that a stop takes at a worker. */
  readonly stopMs: number
  readonly announce: (pressures: readonly QueuePressure[]) => void
  readonly log: Log
}

/** Keeps the periodic duties of one owner. */
export class Caretaker {
  private slowMs = -Infinity
  private announced = false
  private readonly paces = new Map<string, number>()

  constructor (private readonly parts: CaretakerParts) {}

  /** Does what is due. Called every tick of the owner. */
  tick (): void {
    const nowMs = this.parts.clock.now()
    for (const session of this.parts.sessions.values()) this.evacuate(session)
    this.restartStalled(nowMs)
    if (nowMs - this.slowMs < SLOW_INTERVAL_MS) return
    this.slowMs = nowMs
    for (const session of this.parts.sessions.values()) this.pace(session)
    this.announce()
  }

  private evacuate (session: Session): void {
    const remainingMs = session.remainingMs()
    if (remainingMs === undefined || session.runs.size === 0) return
    for (const run of chooseLeaving(session.runs.values(), remainingMs, this.parts.stopMs)) {
      this.parts.log.decision('evacuate', { task: run.name, run: run.number, worker: session.id, remainingMs })
      detach(session.stopRun(run, StopReason.Evacuation))
    }
  }

  private restartStalled (nowMs: number): void {
    for (const run of this.parts.ledger.all()) {
      if (run.state !== RunState.Running || run.stopping !== undefined || run.step.lasting) continue
      if (run.number > STALL_RUNS_MAX || run.percent < 100) continue
      const elapsedMs = nowMs - run.startedMs
      if (!this.parts.speeds.isStalled(run.stepName, run.step.estimateMs, elapsedMs)) continue
      if (run.step.checkpoints && nowMs - run.progressMs < PROGRESS_MS) continue
      this.parts.log.decision('stalled', { task: run.name, run: run.number, worker: run.session.id, elapsedMs: Math.round(elapsedMs) })
      this.parts.speeds.noteStall(run.session.id)
      detach(run.session.stopRun(run, StopReason.Stalled))
    }
  }

  private pace (session: Session): void {
    const serving = []
    const fillers: Run[] = []
    for (const run of session.runs.values()) {
      if (run.state !== RunState.Running || run.stopping !== undefined) continue
      if (run.step.bestEffort) fillers.push(run)
      else if (run.step.latencyTargetMs > 0) serving.push({ tailMs: run.load, targetMs: run.step.latencyTargetMs })
    }
    if (fillers.length === 0) {
      this.paces.delete(session.id)
      return
    }
    const before = this.paces.get(session.id) ?? 100
    const percent = nextPace(before, serving)
    this.paces.set(session.id, percent)
    for (const run of fillers) {
      if (run.percent === percent) continue
      this.parts.log.decision('pace', { task: run.name, worker: session.id, percent, before: run.percent })
      detach(session.pace(run, percent))
    }
  }

  private announce (): void {
    const pressures: QueuePressure[] = []
    for (const upstream of this.parts.configuration().upstreams) {
      pressures.push(...findPressures(this.loadsOf(upstream.name), WHOLE))
    }
    if (pressures.length === 0 && !this.announced) return
    this.announced = pressures.length > 0
    for (const { queue, backlogMs, drainMs } of pressures) this.parts.log.decision('queue refuses', { queue, backlogMs, drainMs })
    this.parts.announce(pressures)
  }

  /** Work that is left of each queue's jobs, in time that the whole upstream needs for it. */
  private loadsOf (upstream: string): QueueLoad[] {
    const total = totalOf(this.parts.sessions.values(), upstream)
    const loads = new Map<string, { workMs: number, objectiveMs: number, chainMs: number, jobs: number }>()
    const queues = this.parts.configuration().queues.filter((queue) => queue.upstream === upstream)
    for (const queue of queues) loads.set(queue.name, { workMs: 0, objectiveMs: 0, chainMs: 0, jobs: 0 })
    for (const entry of this.parts.table.jobs.values()) {
      const load = loads.get(entry.job.queue)
      if (load === undefined || entry.over() || entry.job.occurrences > 0) continue
      load.workMs += remainingWorkOf(entry, total)
      load.chainMs += chainMsOf(entry.job.steps)
      load.jobs++
    }
    return queues.map((queue) => {
      const load = loads.get(queue.name)!
      const chainMs = load.jobs === 0 ? 0 : load.chainMs / load.jobs
      const objectiveMs = load.jobs === 0 ? 0 : queue.stretch * chainMs + queue.targetMs
      return { queue: queue.name, priority: queue.priority, workMs: load.workMs, objectiveMs, chainMs }
    })
  }
}

/** What is left of a job, as time that the whole room would need for it. */
function remainingWorkOf (entry: JobEntry, total: Resources): number {
  let workMs = 0
  for (const [index, step] of entry.job.steps.entries()) {
    if (step.lasting || step.bestEffort) continue
    workMs += remainingTasksOf(entry, index, step) * step.estimateMs * dominantShareOf(step.size, total)
  }
  return workMs
}

function remainingTasksOf (entry: JobEntry, index: number, step: Step): number {
  let done = 0
  for (const task of entry.tasks.values()) {
    if (task.step === index && task.stage === Stage.Done) done++
  }
  return step.count * occurrencesOf(entry.job) - done
}
