/**
 * What is left of the upper limits of the workspaces during one scheduling round.
 */
import { addResources, scaleResources, type Resources } from '@fireflymount/protocol/resources'
import { headroomOf } from '../place/limit.js'
import type { JobSettings } from './job-settings.js'
import type { Ledger } from './ledger.js'
import type { ReadyStep } from './ready-step.js'

/** Resources that workspaces use, including the tasks that were counted in the round. */
export class WorkspaceUsage {
  private readonly used = new Map<string, Resources>()

  constructor (private readonly ledger: Ledger, private readonly jobSettings: JobSettings) {}

  /** Returns how many tasks of a step fit into what is left of the upper limit of their workspace. */
  headroom ({ entry, step }: ReadyStep): number {
    const limit = this.jobSettings.workspaceOf(entry.job)?.upperLimit
    return limit === undefined ? Infinity : headroomOf(limit, this.usedBy(entry.job.workspace), step.size)
  }

  /** Counts tasks of a step against the limit, as if they were running. */
  add ({ entry, step }: ReadyStep, count: number): void {
    if (count === 0) return
    const { workspace } = entry.job
    this.used.set(workspace, addResources(this.usedBy(workspace), scaleResources(step.size, count)))
  }

  private usedBy (workspace: string): Resources {
    return this.used.get(workspace) ?? this.ledger.usedBy(workspace)
  }
}
