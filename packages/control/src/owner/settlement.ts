/**
 * What the end of a run means for its task and job. Changes the entries; the caller writes them to the journal.
 */
import { Stage } from '../journal/record.js'
import type { JobEntry, TaskEntry } from '../journal/table.js'
import { isFinal, occurrencesOf, Phase } from '../model/job.js'
import { Ending } from '../model/worker.js'

/** The end of a run, as a worker listed it or as it was concluded. */
export interface RunEnd {
  readonly run: number
  readonly ending: Ending
  readonly checkpoint: string
}

/**
 * Lists the tasks that share a fate: all members of a gang, or the task alone.
 *
 * @returns entries, created if they were not known
 */
export function membersOf (entry: JobEntry, task: TaskEntry): TaskEntry[] {
  const step = entry.job.steps[task.step]!
  if (!step.gang) return [task]
  const members: TaskEntry[] = []
  for (let index = 0; index < step.count; index++) members.push(entry.task(task.occurrence, task.step, index))
  return members
}

/**
 * Applies the end of a run.
 *
 * @param attempts failed runs of a task after which its job fails
 * @param nowMs Unix time
 * @returns true if anything changed; ends of earlier runs change nothing
 */
export function settleEnd (entry: JobEntry, task: TaskEntry, end: RunEnd, attempts: number, nowMs: number): boolean {
  if (task.stage === Stage.Done || end.run !== task.run) return false
  const step = entry.job.steps[task.step]!
  const members = membersOf(entry, task)
  if (end.ending === Ending.Done && !step.lasting) {
    for (const member of members) member.stage = Stage.Done
    if (!entry.over() && isComplete(entry)) finish(entry, Phase.Completed, nowMs)
    return true
  }
  if (task.stage !== Stage.Assigned) return false
  for (const member of members) {
    member.stage = Stage.Waiting
    if (end.checkpoint !== '') member.checkpoint = end.checkpoint
    if (end.ending === Ending.Failed) member.failures++
  }
  const exhausted = end.ending === Ending.Failed && !step.lasting && task.failures >= attempts
  if (exhausted && !entry.over()) finish(entry, Phase.Failed, nowMs)
  return true
}

/** Ends a job, unless it has ended. */
export function finish (entry: JobEntry, phase: Phase, nowMs: number): void {
  if (isFinal(entry.phase)) return
  entry.phase = phase
  entry.endedMs = nowMs
}

function isComplete (entry: JobEntry): boolean {
  const { job } = entry
  for (let occurrence = 0; occurrence < occurrencesOf(job); occurrence++) {
    for (let step = 0; step < job.steps.length; step++) {
      if (!entry.stepDone(occurrence, step)) return false
    }
  }
  return true
}
