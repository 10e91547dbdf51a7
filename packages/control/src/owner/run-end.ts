/**
 * Effects of the end of a run on its task and job. Changes the entries only; the caller writes them to the journal.
 */
import { Stage } from '../journal/record.js'
import type { JobEntry, TaskEntry } from '../journal/journal-state.js'
import { isFinal, occurrencesOf, Phase } from '../model/job.js'
import { RunOutcome } from '../model/worker.js'

/** The end of a run, as reported by a worker or as inferred by the owner. */
export interface RunEnd {
  readonly run: number
  readonly ending: RunOutcome
  readonly checkpoint: string
}

/**
 * Returns the tasks that complete together and are placed again together: all members of a gang, or the task alone. All members
 * count as done as soon as one of them is done, unless the gang is long-running.
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

/** Returns the assigned tasks of gangs that are not assigned as a whole. Their runs cannot complete. */
export function assignedToIncompleteGangs (entry: JobEntry): Set<TaskEntry> {
  const gangs = new Map<string, TaskEntry[]>()
  for (const task of entry.tasks.values()) {
    if (task.stage !== Stage.Assigned || entry.job.steps[task.step]?.gang !== true) continue
    const gang = `${task.occurrence}.${task.step}.${task.run}`
    const members = gangs.get(gang)
    if (members === undefined) gangs.set(gang, [task])
    else members.push(task)
  }
  const incomplete = [...gangs.values()].filter((members) => members.length < entry.job.steps[members[0]!.step]!.count)
  return new Set(incomplete.flat())
}

/**
 * Applies the end of a run. The other members of its gang stay assigned until their own runs have ended, so that the journal shows
 * a successor which of them may still be running. A failed run counts as an attempt once, whenever its end is reported: the end of another member of its
 * gang may have been applied before, or the run may have been given up.
 *
 * @param maxAttempts number of failed runs of a task after which its job fails
 * @param nowMs Unix time
 * @returns true if anything changed
 */
export function applyRunEnd (
  entry: JobEntry, task: TaskEntry, end: RunEnd, maxAttempts: number, nowMs: number
): boolean {
  const step = entry.job.steps[task.step]
  // Without steps, the job has ended and its details have been dropped.
  if (step === undefined || end.run > task.run) return false
  // The handling of the end that completed the task may have failed before it ended the job.
  if (task.stage === Stage.Done) return endIfComplete(entry, nowMs)
  const members = membersOf(entry, task)
  if (end.ending === RunOutcome.Done && !step.lasting) {
    for (const member of members) member.stage = Stage.Done
    for (const member of members) entry.markChanged(member)
    endIfComplete(entry, nowMs)
    return true
  }
  const releases = task.stage === Stage.Assigned && end.run === task.run
  const counts = end.ending === RunOutcome.Failed && end.run > task.failedRun
  if (!releases && !counts) return false
  // All members of a gang resume from the same checkpoint, which the first one to end decides.
  const hasCheckpoint = releases && end.checkpoint !== '' && members.every((member) => member.stage === Stage.Assigned)
  if (releases) task.stage = Stage.Waiting
  for (const member of members) {
    if (hasCheckpoint) member.checkpoint = end.checkpoint
    if (counts) countFailure(member, end.run)
  }
  for (const member of hasCheckpoint || counts ? members : [task]) entry.markChanged(member)
  const exhausted = !step.lasting && task.stage === Stage.Waiting && task.failures >= maxAttempts
  if (exhausted && !entry.isFinishedOrCancelled()) endJob(entry, Phase.Failed, nowMs)
  return true
}

function countFailure (task: TaskEntry, run: number): void {
  task.failures++
  task.failedRun = run
}

/** Sets the final phase and the end time of a job, unless it has ended. */
export function endJob (entry: JobEntry, phase: Phase, nowMs: number): void {
  if (isFinal(entry.phase)) return
  entry.phase = phase
  entry.endedMs = nowMs
}

/** Ends a job all of whose tasks are done. Returns true if the job had not ended before. */
function endIfComplete (entry: JobEntry, nowMs: number): boolean {
  if (entry.isFinishedOrCancelled() || !isComplete(entry)) return false
  endJob(entry, Phase.Completed, nowMs)
  return true
}

function isComplete (entry: JobEntry): boolean {
  const { job } = entry
  for (let occurrence = 0; occurrence < occurrencesOf(job); occurrence++) {
    for (let step = 0; step < job.steps.length; step++) {
      if (!entry.isStepDone(occurrence, step)) return false
    }
  }
  return true
}
