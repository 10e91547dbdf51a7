/**
 * Effects of a completed run on its task and job. Changes the entries only; the caller writes them to the journal.
 */
import { Stage } from '../journal/record.js'
import type { JobEntry, TaskEntry } from '../journal/table.js'
import { isFinal, occurrencesOf, Phase } from '../model/job.js'
import { Ending } from '../model/worker.js'

/** A completed run, as reported by a worker or as inferred by the owner. */
export interface RunCompletion {
  readonly run: number
  readonly ending: Ending
  readonly checkpoint: string
}

/**
 * Returns the tasks that complete and restart together: all members of a gang, or the task alone.
 *
 * @returns the entries; missing ones are created
 */
export function membersOf (entry: JobEntry, task: TaskEntry): TaskEntry[] {
  const step = entry.job.steps[task.step]!
  if (!step.gang) return [task]
  const members: TaskEntry[] = []
  for (let index = 0; index < step.count; index++) members.push(entry.task(task.occurrence, task.step, index))
  return members
}

/**
 * Applies a completed run.
 *
 * @param maxAttempts number of failed runs of a task after which its job fails
 * @param nowMs Unix time
 * @returns true if anything changed; completions of earlier runs change nothing
 */
export function applyCompletion (
  entry: JobEntry, task: TaskEntry, completion: RunCompletion, maxAttempts: number, nowMs: number
): boolean {
  if (task.stage === Stage.Done || completion.run !== task.run) return false
  const step = entry.job.steps[task.step]!
  const members = membersOf(entry, task)
  if (completion.ending === Ending.Done && !step.lasting) {
    for (const member of members) member.stage = Stage.Done
    if (!entry.over() && isComplete(entry)) finishJob(entry, Phase.Completed, nowMs)
    return true
  }
  if (task.stage !== Stage.Assigned) return false
  for (const member of members) {
    member.stage = Stage.Waiting
    if (completion.checkpoint !== '') member.checkpoint = completion.checkpoint
    if (completion.ending === Ending.Failed) member.failures++
  }
  const exhausted = completion.ending === Ending.Failed && !step.lasting && task.failures >= maxAttempts
  if (exhausted && !entry.over()) finishJob(entry, Phase.Failed, nowMs)
  return true
}

/** Marks a job as finished, unless it already is. */
export function finishJob (entry: JobEntry, phase: Phase, nowMs: number): void {
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
