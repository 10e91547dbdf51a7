/**
 * Fakes of the owner's ports for the load model: workers, store and advisor in this process. They use one timer, so that nearly
 * all processor time that is measured is the owner's.
 */
import { Fleet, WorkerFailure, type ReportCommand, type RunCommand, type StartCommand } from '@fireflymount/control/ports/fleet'
import type { Worker, EndedRun, ActiveRun, Report } from '@fireflymount/control/model/worker'
import { RunOutcome, splitTask } from '@fireflymount/control/model/worker'
import { Formats } from '@fireflymount/control/ports/formats'
import { MachineFailure, Machines } from '@fireflymount/control/ports/machines'
import { Store, Topic, type KeyedRecord, type NewestPage, type RecordPage, type StoreFailure } from '@fireflymount/control/ports/store'
import type { AdviceFailure, Tickets } from '@fireflymount/control/ports/advisor'
import { err, ok, type Result } from 'neverthrow'

const TICK_MS = 2
const START_MS = 2
const APPEND_MS = 6
/** Share of the workers that the advisor permits for a step. */
const PERMITTED_SHARE = 0.4

/** Runs callbacks at times that are rounded up to ticks of one timer. */
export class Wheel {
  private readonly due = new Map<number, Array<() => void>>()
  private tick = 0
  private readonly startedMs = performance.now()
  private readonly timer = setInterval(() => { this.advance() }, TICK_MS)

  /** Calls back after a delay. */
  after (ms: number, callback: () => void): void {
    const tick = Math.max(this.tick + 1, Math.ceil((performance.now() - this.startedMs + ms) / TICK_MS))
    const callbacks = this.due.get(tick)
    if (callbacks === undefined) this.due.set(tick, [callback])
    else callbacks.push(callback)
  }

  close (): void {
    clearInterval(this.timer)
  }

  private advance (): void {
    const now = Math.floor((performance.now() - this.startedMs) / TICK_MS)
    while (this.tick < now) {
      const callbacks = this.due.get(++this.tick)
      if (callbacks === undefined) continue
      this.due.delete(this.tick)
      for (const callback of callbacks) callback()
    }
  }
}

interface ActiveTask extends ActiveRun {
  stopped: boolean
}

interface WorkerState {
  readonly running: Map<string, ActiveTask>
  ended: EndedRun[]
  lastPosition: number
  answer: (() => void) | undefined
}

/** Workers that run each task for its estimated duration. */
export class LoadFleet extends Fleet {
  override readonly maxReportedEnds = Infinity
  starts = 0
  running = 0
  private readonly states = new Map<string, WorkerState>()

  /** @param begin called when a task begins; returns how long it runs, Infinity for one that runs until it is stopped */
  constructor (private readonly wheel: Wheel, private readonly begin: (job: string, step: number) => number) {
    super()
  }

  override start (worker: Worker, command: StartCommand): Promise<Result<number, WorkerFailure>> {
    return new Promise((resolve) => {
      this.wheel.after(START_MS, () => {
        this.run(worker, command)
        resolve(ok(this.clockMs()))
      })
    })
  }

  override stop (worker: Worker, command: RunCommand): Promise<Result<number, WorkerFailure>> {
    return new Promise((resolve) => {
      this.wheel.after(START_MS, () => {
        this.end(worker, command.task, command.run, RunOutcome.Stopped)
        resolve(ok(this.clockMs()))
      })
    })
  }

  override async throttle (): Promise<Result<number, WorkerFailure>> {
    return ok(this.clockMs())
  }

  override requestReport (worker: Worker, command: ReportCommand): Promise<Result<Report, WorkerFailure>> {
    const state = this.stateOf(worker)
    state.ended = state.ended.filter((end) => end.position > command.acknowledged)
    return new Promise((resolve) => {
      let answered = false
      const answer = (): void => {
        if (answered) return
        answered = true
        state.answer = undefined
        resolve(ok({ born: worker.born, clockMs: this.clockMs(), running: [...state.running.values()], ended: [...state.ended] }))
      }
      if (command.waitMs > 0 && state.ended.length === 0) {
        state.answer = answer
        this.wheel.after(command.waitMs, answer)
      } else {
        this.wheel.after(START_MS, answer)
      }
    })
  }

  override closeConnections (): void {}

  private run (worker: Worker, command: StartCommand): void {
    const { task, run } = command
    this.starts++
    this.running++
    this.stateOf(worker).running.set(task, { task, run, checkpoint: '', progress: 100, load: 0, stopped: false })
    const { job, key } = splitTask(task)
    const durationMs = this.begin(job, Number(key.split('.')[1]))
    if (durationMs < Infinity) this.wheel.after(durationMs, () => { this.end(worker, task, run, RunOutcome.Done) })
  }

  private end (worker: Worker, task: string, run: number, ending: RunOutcome): void {
    const state = this.stateOf(worker)
    if (state.running.get(task)?.run !== run) return
    state.running.delete(task)
    this.running--
    state.ended.push({ position: ++state.lastPosition, task, run, ending, checkpoint: '' })
    const { answer } = state
    if (answer !== undefined) this.wheel.after(1, answer)
  }

  private stateOf (worker: Worker): WorkerState {
    let state = this.states.get(worker.id)
    if (state === undefined) {
      state = { running: new Map(), ended: [], lastPosition: 0, answer: undefined }
      this.states.set(worker.id, state)
    }
    return state
  }

  private clockMs (): number {
    return Math.floor(performance.now())
  }
}

/** A store that accepts every append and whose only readable records are the entries of the workers. */
export class LoadStore extends Store {
  constructor (private readonly wheel: Wheel, private readonly workers: readonly Worker[]) {
    super()
  }

  override append (_topic: Topic, _records: readonly KeyedRecord[]): Promise<Result<number, StoreFailure>> {
    return new Promise((resolve) => { this.wheel.after(APPEND_MS, () => { resolve(ok(0)) }) })
  }

  override read (): Promise<Result<RecordPage, StoreFailure>> {
    return new Promise((resolve) => {
      this.wheel.after(APPEND_MS, () => { resolve(ok({ records: [], end: this.workers.length })) })
    })
  }

  override async newest (topic: Topic): Promise<Result<NewestPage, StoreFailure>> {
    if (topic !== Topic.Workers) return ok({ records: [], end: 0, next: undefined })
    const records = this.workers.map((worker, offset) => ({ key: worker.id, value: Buffer.from(JSON.stringify(worker)), offset }))
    return ok({ records, end: records.length, next: undefined })
  }
}

/** An advisor that serves one call at a time for each node. */
export class LoadAdvisor {
  calls = 0
  private readonly freeAtMs = new Map<string, number>()

  constructor (private readonly wheel: Wheel) {}

  /**
   * Answers after the time of the call and of the calls before it.
   *
   * @param durationMs time that the call itself takes
   */
  ask (node: string, step: string, workers: readonly string[], durationMs: number): Promise<Result<Tickets, AdviceFailure>> {
    this.calls++
    const nowMs = performance.now()
    const freeAtMs = Math.max(nowMs, this.freeAtMs.get(node) ?? 0) + durationMs
    this.freeAtMs.set(node, freeAtMs)
    return new Promise((resolve) => {
      this.wheel.after(freeAtMs - nowMs, () => {
        const permitted = workers.filter((worker) => hash(`${step} ${worker}`) < PERMITTED_SHARE)
        resolve(ok(permitted.map((worker) => [worker, `ticket-${worker}-0123456789`])))
      })
    })
  }
}

/** Decodes registry entries of workers from JSON. */
export class LoadFormats extends Formats {
  override readonly configurationKey = 'config'

  override decodeConfiguration (): ReturnType<Formats['decodeConfiguration']> {
    return err('unused')
  }

  override decodeWorker (_: string, value: Buffer): ReturnType<Formats['decodeWorker']> {
    return ok(JSON.parse(value.toString()) as Worker)
  }

  override evacuatedZoneOf (): undefined {
    return undefined
  }

  override checkEvacuation (): ReturnType<Formats['checkEvacuation']> {
    return err('unused')
  }
}

/** A machine service that never answers. */
export class LoadMachines extends Machines {
  override async list (): ReturnType<Machines['list']> {
    return err(MachineFailure.NoAnswer)
  }

  override async move (): ReturnType<Machines['move']> {
    return err(MachineFailure.NoAnswer)
  }

  override async startMaintenance (): ReturnType<Machines['startMaintenance']> {
    return err(MachineFailure.NoAnswer)
  }
}

/** FNV-1a of a text, scaled to at least 0 and below 1. */
function hash (text: string): number {
  let value = 0x811c9dc5
  for (let index = 0; index < text.length; index++) value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
  return (value >>> 0) / 0x1_0000_0000
}
