/**
 * One task while it runs on a stand-in worker.
 */
import type { TaskReport, TaskStart, TaskState } from '@fireflymount/platform/worker'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Resources } from '@fireflymount/protocol/resources'
import { parseBehaviour, type Behaviour } from './behaviour.js'

/** Names one run of a task. */
export function runKey (id: string, attempt: number): string {
  return `${id}/${attempt}`
}

/** A running task. */
export class Assignment {
  readonly behaviour: Behaviour
  readonly key: string
  /** Ends the task by itself, or after its checkpoint. */
  timer: NodeJS.Timeout | undefined
  stopping = false
  /** Whether the present usage was reported. */
  usageTold = false
  private usage: Resources

  /**
   * @param task the task
   * @param epoch the epoch of the command that started it
   * @param startedMs time of the start in the worker's clock
   * @param untilMs end of the lease in the worker's clock
   * @param usageFromMs when the usage becomes visible
   */
  constructor (
    readonly task: TaskStart,
    readonly epoch: Epoch,
    readonly startedMs: number,
    public untilMs: number,
    private usageFromMs: number
  ) {
    this.behaviour = parseBehaviour(task.body)
    this.key = runKey(task.id, task.attempt)
    this.usage = this.behaviour.usage ?? task.size
  }

  /** Limits the processors that the task uses. */
  throttle (cpuMilli: number, usageFromMs: number): void {
    const full = this.behaviour.usage ?? this.task.size
    this.usage = { ...full, cpuMilli: Math.min(full.cpuMilli, cpuMilli) }
    this.usageFromMs = usageFromMs
    this.usageTold = false
  }

  /** Whether there is usage that was not reported yet. */
  hasNews (nowMs: number): boolean {
    return !this.usageTold && nowMs >= this.usageFromMs
  }

  /** How long the task ran, with what it ran before its checkpoint. */
  ranMs (nowMs: number): number {
    return nowMs - this.startedMs + (this.behaviour.checkpoint?.ranMs ?? 0)
  }

  /** The report of the task in a state. */
  report (state: TaskState, nowMs: number, isUsageKnown: boolean, result?: unknown): TaskReport {
    const { id, attempt, team, kind, size } = this.task
    const runtimeMs = nowMs - this.startedMs
    const usage = isUsageKnown ? this.usage : undefined
    return { id, attempt, team, kind, size, state, result, usage, runtimeMs }
  }

  /** The report of the running task, with its usage if that is visible. */
  reportRunning (state: TaskState, nowMs: number): TaskReport {
    const isUsageKnown = nowMs >= this.usageFromMs
    if (isUsageKnown) this.usageTold = true
    return this.report(state, nowMs, isUsageKnown)
  }
}
