/**
 * What the owner does from time to time: empties draining workers, begins stalled tasks elsewhere, and paces best-effort tasks.
 */
import type { Clock } from '../clock.js'
import { detach } from '../detach.js'
import type { Configuration } from '../model/configuration.js'
import { nextPace } from '../place/pace.js'
import type { SpeedBook } from '../place/speed.js'
import type { Log } from '../report/log.js'
import { chooseLeaving } from './evacuation.js'
import type { Ledger } from './ledger.js'
import { RunState, StopReason, type Run } from './run.js'
import type { Session } from './session.js'

/** Time between two looks at paces. */
const SLOW_INTERVAL_MS = 500
/** Runs of a task after which it is left where it is, however long it takes. */
const STALL_RUNS_MAX = 4
/** A task whose checkpoint has changed within this time is at work. */
const PROGRESS_MS = 2500

/** What the caretaker works with. */
export interface CaretakerParts {
  readonly ledger: Ledger
  readonly sessions: ReadonlyMap<string, Session>
  readonly speeds: SpeedBook
  readonly configuration: () => Configuration
  readonly clock: Clock
  /** Longest time that a stop takes at a worker. */
  readonly stopMs: number
  readonly log: Log
}

/** Keeps the periodic duties of one owner. */
export class Caretaker {
  private slowMs = -Infinity
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
}
