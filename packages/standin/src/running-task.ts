/**
 * A task that runs on a stand-in worker.
 */
import type { TaskReport, TaskStart, TaskState } from '@fireflymount/service-clients/worker'
import type { Epoch } from '@fireflymount/protocol/epoch'
import type { Resources } from '@fireflymount/protocol/resources'
import { parseBehaviour, type Behaviour } from './behaviour.js'

/** Creates the key of one run of a task, as renewals acknowledge it. */
export function runKey (id: string, attempt: number): string {
  return `${id}/${attempt}`
}

/** A task that runs. */
export class RunningTask {
  readonly behaviour: Behaviour
  readonly key: string
  /** Completes the task after its run time, or after its checkpoint. */
  timer: NodeJS.Timeout | undefined
  stopping = false
  /** Whether the current usage was reported. */
  isUsageReported = false
  private usage: Resources

  /**
   * @param task the task
   * @param epoch the epoch of the command that started it
   * @param startedMs start time in the worker's clock
   * @param untilMs expiry of the lease in the worker's clock
   * @param usageFromMs time in the worker's clock from which the usage may be reported
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

  /** Limits the CPU that the task uses. */
  throttle (cpuMilli: number, usageFromMs: number): void {
    const unthrottled = this.behaviour.usage ?? this.task.size
    this.usage = { ...unthrottled, cpuMilli: Math.min(unthrottled.cpuMilli, cpuMilli) }
    this.usageFromMs = usageFromMs
    this.isUsageReported = false
  }

  /** Whether the usage may be reported and was not reported yet. */
  hasUnreportedUsage (nowMs: number): boolean {
    return !this.isUsageReported && nowMs >= this.usageFromMs
  }

  /** Run time of the task, including the time before its checkpoint. */
  ranMs (nowMs: number): number {
    return nowMs - this.startedMs + (this.behaviour.checkpoint?.ranMs ?? 0)
  }

  /** Creates a report of the task with a state. */
  report (state: TaskState, nowMs: number, mayReportUsage: boolean, result?: unknown): TaskReport {
    const { id, attempt, team, kind, size } = this.task
    const runtimeMs = nowMs - this.startedMs
    const usage = mayReportUsage ? this.usage : undefined
    return { id, attempt, team, kind, size, state, result, usage, runtimeMs }
  }

  /** Creates a report of the running task, with its usage if that may be reported, and marks the usage as reported. */
  reportRunning (state: TaskState, nowMs: number): TaskReport {
    const mayReportUsage = nowMs >= this.usageFromMs
    if (mayReportUsage) this.isUsageReported = true
    return this.report(state, nowMs, mayReportUsage)
  }
}
