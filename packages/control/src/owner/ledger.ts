/**
 * Records which runs occupy which workers and how much each workspace uses. A run is charged from its assignment until it is
 * provably not running.
 */
import { NO_RESOURCES, addResources, scaleResources, subtractResources, type Resources } from '@fireflymount/protocol/resources'
import type { JobEntry, TaskEntry } from '../journal/journal-state.js'
import type { Step } from '../model/job.js'
import type { Run } from './run.js'

/** All runs that may be running. */
export class Ledger {
  private readonly byName = new Map<string, Run>()
  private readonly byJob = new Map<string, Set<Run>>()
  private readonly usage = new Map<string, Resources>()
  private readonly charges = new Map<string, Resources>()

  /** Adds a run and charges its worker and its workspace. */
  add (run: Run): void {
    this.byName.set(run.name, run)
    let runs = this.byJob.get(run.entry.job.id)
    if (runs === undefined) this.byJob.set(run.entry.job.id, runs = new Set())
    runs.add(run)
    run.session.addRun(run)
    const { workspace } = run.entry.job
    this.usage.set(workspace, addResources(this.usedBy(workspace), run.step.size))
    this.charge(run, 1)
  }

  /** Removes a run that has provably ended or not started, and releases its charges. */
  remove (run: Run): void {
    if (this.byName.get(run.name) !== run) return
    this.byName.delete(run.name)
    const runs = this.byJob.get(run.entry.job.id)
    runs?.delete(run)
    if (runs?.size === 0) this.byJob.delete(run.entry.job.id)
    run.session.removeRun(run)
    const { workspace } = run.entry.job
    this.usage.set(workspace, subtractResources(this.usedBy(workspace), run.step.size))
    this.charge(run, -1)
  }

  /** Returns the current run of a task, by the task name that workers use. */
  find (name: string): Run | undefined {
    return this.byName.get(name)
  }

  /** Returns the current run of a task. */
  runOf (entry: JobEntry, task: TaskEntry): Run | undefined {
    return this.byName.get(`${entry.job.id}.${task.key}`)
  }

  /** Returns the runs of a job. */
  runsOf (entry: JobEntry): Iterable<Run> {
    return this.byJob.get(entry.job.id) ?? []
  }

  hasRuns (entry: JobEntry): boolean {
    return this.byJob.has(entry.job.id)
  }

  all (): Iterable<Run> {
    return this.byName.values()
  }

  get size (): number {
    return this.byName.size
  }

  /** Resources that a workspace uses on all workers, by the sizes that its jobs declare. */
  usedBy (workspace: string): Resources {
    return this.usage.get(workspace) ?? NO_RESOURCES
  }

  /** Resources that each workspace uses; see `usedBy`. */
  usages (): Iterable<readonly [string, Resources]> {
    return this.usage.entries()
  }

  /** Resources that the runs of a queue are charged on all workers, except long-running ones. */
  chargedFor (queue: string): Resources {
    return this.charges.get(queue) ?? NO_RESOURCES
  }

  private charge (run: Run, sign: number): void {
    if (run.step.lasting) return
    const { queue } = run.entry.job
    this.charges.set(queue, addResources(this.chargedFor(queue), scaleResources(run.charge, sign)))
  }
}

/** Returns what a task is charged on its worker. A best-effort task is not charged for CPU. */
export function chargeOf (step: Step): Resources {
  return step.bestEffort ? { ...step.size, cpuMilli: 0 } : step.size
}
