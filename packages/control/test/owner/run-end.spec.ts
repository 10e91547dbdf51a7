import { describe, expect, it } from 'vitest'
import { JobEntry } from '../../src/journal/journal-state.js'
import { Stage } from '../../src/journal/record.js'
import { Phase } from '../../src/model/job.js'
import { RunOutcome } from '../../src/model/worker.js'
import { applyRunEnd, membersOf } from '../../src/owner/run-end.js'
import { createJob, createStep } from '../fakes.js'

const MAX_ATTEMPTS = 2
const NOW_MS = 1_700_000_001_000

/** Assigns the run with this number to all members of a gang of two tasks, or to its only task. */
function assign (entry: JobEntry, run: number): void {
  for (const member of membersOf(entry, entry.task(0, 0, 0))) Object.assign(member, { stage: Stage.Assigned, run })
}

/** Ends of runs in the order in which they are reported: the task's index, the run and the outcome. `assign` starts the next run. */
type Report = readonly [index: number, run: number, ending: RunOutcome] | 'assign'

function apply (tasks: number, reports: readonly Report[]): { failures: number, phase: Phase, stages: Stage[] } {
  const entry = new JobEntry(createJob({ steps: [createStep({ count: tasks, gang: tasks > 1 })] }))
  let run = 0
  for (const report of reports) {
    if (report === 'assign') {
      assign(entry, ++run)
      continue
    }
    const [index, number, ending] = report
    applyRunEnd(entry, entry.task(0, 0, index), { run: number, ending, checkpoint: '' }, MAX_ATTEMPTS, NOW_MS)
  }
  const stages = membersOf(entry, entry.task(0, 0, 0)).map((member) => member.stage)
  return { failures: entry.task(0, 0, 0).failures, phase: entry.phase, stages }
}

describe('the attempts of a task', () => {
  // Guards against gangs that were started again after their last attempt: the end of the member that failed was reported after the
  // end of another member, and was not counted.
  it.each<[string, number, Report[], number, Phase]>([
    ['a failed run', 1, ['assign', [0, 1, RunOutcome.Failed]], 1, Phase.Pending],
    ['a failed run that is reported twice', 1, ['assign', [0, 1, RunOutcome.Failed], [0, 1, RunOutcome.Failed]], 1, Phase.Pending],
    ['a run that was given up and then reported as failed', 1,
      ['assign', [0, 1, RunOutcome.LeaseExpired], [0, 1, RunOutcome.Failed]], 1, Phase.Pending],
    ['a run that is reported as failed while the next one is assigned', 1,
      ['assign', [0, 1, RunOutcome.LeaseExpired], 'assign', [0, 1, RunOutcome.Failed]], 1, Phase.Pending],
    ['the last attempt', 1, ['assign', [0, 1, RunOutcome.Failed], 'assign', [0, 2, RunOutcome.Failed]], 2, Phase.Failed],
    ['a last attempt that is reported while another run is assigned', 1,
      ['assign', [0, 1, RunOutcome.Failed], 'assign', [0, 2, RunOutcome.LeaseExpired], 'assign', [0, 2, RunOutcome.Failed]],
      2, Phase.Pending],
    ['that run, which then ends without completing', 1,
      ['assign', [0, 1, RunOutcome.Failed], 'assign', [0, 2, RunOutcome.LeaseExpired], 'assign', [0, 2, RunOutcome.Failed],
        [0, 3, RunOutcome.Stopped]], 2, Phase.Failed],
    ['a gang whose other member is reported first', 2,
      ['assign', [1, 1, RunOutcome.GangBroken], [0, 1, RunOutcome.Failed]], 1, Phase.Pending],
    ['a gang of which two members failed', 2,
      ['assign', [0, 1, RunOutcome.Failed], [1, 1, RunOutcome.Failed]], 1, Phase.Pending],
    ['the last attempt of a gang whose other member is reported first', 2,
      ['assign', [1, 1, RunOutcome.GangBroken], [0, 1, RunOutcome.Failed],
        'assign', [1, 2, RunOutcome.GangBroken], [0, 2, RunOutcome.Failed]], 2, Phase.Failed],
    ['runs that did not fail', 1,
      ['assign', [0, 1, RunOutcome.Stopped], 'assign', [0, 2, RunOutcome.LeaseExpired], 'assign'], 0, Phase.Pending]
  ])('are counted once: %s', (_, tasks, reports, failures, phase) => {
    expect(apply(tasks, reports)).toMatchObject({ failures, phase })
  })
})

describe('the members of a gang', () => {
  // Guards against a successor that does not know of a member's run and places the gang again while the run is being stopped.
  it.each<[string, Report[], Stage[]]>([
    ['one of which was stopped', ['assign', [1, 1, RunOutcome.Stopped]], [Stage.Assigned, Stage.Waiting]],
    ['one of which failed', ['assign', [0, 1, RunOutcome.Failed]], [Stage.Waiting, Stage.Assigned]],
    ['all of which ended', ['assign', [0, 1, RunOutcome.Failed], [1, 1, RunOutcome.GangBroken]], [Stage.Waiting, Stage.Waiting]],
    ['one of which completed', ['assign', [0, 1, RunOutcome.Done]], [Stage.Done, Stage.Done]]
  ])('stay assigned until their own runs have ended: %s', (_, reports, stages) => {
    expect(apply(2, reports).stages).toEqual(stages)
  })
})
