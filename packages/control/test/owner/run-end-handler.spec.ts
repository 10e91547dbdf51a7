import { expect, it } from 'vitest'
import { JournalState } from '../../src/journal/journal-state.js'
import { encodeJob, Stage, UNKNOWN_OFFSET } from '../../src/journal/record.js'
import type { Step } from '../../src/model/job.js'
import { RunOutcome } from '../../src/model/worker.js'
import type { AdvisorClient } from '../../src/owner/advisor-client.js'
import type { JournalCommitter } from '../../src/owner/journal-committer.js'
import { chargeOf, Ledger } from '../../src/owner/ledger.js'
import { ReadySteps } from '../../src/owner/ready-step.js'
import { Run, RunState } from '../../src/owner/run.js'
import { RunEndHandler } from '../../src/owner/run-end-handler.js'
import { Session } from '../../src/owner/session.js'
import { UnstartedJobs } from '../../src/owner/unstarted-jobs.js'
import { SpeedEstimator } from '../../src/place/speed.js'
import { JobStatistics } from '../../src/report/job-statistics.js'
import { SilentLog } from '../../src/report/log.js'
import { Metrics } from '../../src/report/metrics.js'
import { createJob, createQueue, createSessionHost, createStep, createWorker, FakeClock, FakeFleet } from '../fakes.js'

const ID = '00000000000000aa'

/** Runs the tasks of a step one after another, alternately on a worker and on one that takes four times as long. */
async function runTasks (step: Step, prepare: (run: Run) => void): Promise<SpeedEstimator> {
  const clock = new FakeClock()
  const fleet = new FakeFleet()
  const ledger = new Ledger()
  const journalState = new JournalState()
  const speeds = new SpeedEstimator()
  journalState.apply({ ...encodeJob(createJob({ id: ID, steps: [step] })), offset: UNKNOWN_OFFSET }, 1)
  const handler = new RunEndHandler({
    journalState,
    ledger,
    speeds,
    clock,
    readySteps: new ReadySteps(ledger),
    advisorClient: { forget: () => {} } as unknown as AdvisorClient,
    committer: { commitJobs: async () => true } as unknown as JournalCommitter,
    notBeforeMs: new Map(),
    statistics: new JobStatistics(),
    unstartedJobs: new UnstartedJobs(),
    configuration: () => ({
      version: 1, queues: [createQueue()], upstreams: [], workspaces: [], limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
    }),
    log: new SilentLog(),
    metrics: new Metrics(),
    stopJob: () => {},
    requestRound: () => {},
    onWorkDiscarded: () => {}
  })
  const sessions = ['w1', 'slow'].map((id) => new Session(createWorker({ id }), createSessionHost({ fleet, clock })))
  const entry = journalState.jobs.get(ID)!
  for (let index = 0; index < step.count; index++) {
    const session = sessions[index % 2]!
    const task = entry.task(0, 0, index)
    Object.assign(task, { stage: Stage.Assigned, run: 1, worker: session.id, born: 10 })
    const run = new Run(entry, task, 1, session, chargeOf(step), '', clock.now())
    run.state = RunState.Running
    run.startedMs = clock.now()
    ledger.add(run)
    prepare(run)
    clock.advance(session.id === 'slow' ? 4000 : 1000)
    const end = { position: index + 1, task: run.name, run: 1, ending: RunOutcome.Done, checkpoint: '' }
    await handler.handleRunEnds(session, [end])
  }
  return speeds
}

// Guards against a slow worker that counts as fast as the others, because the last reported progress of its runs was below 100.
it.each<[string, boolean, Partial<Step>, (run: Run) => void]>([
  ['makes a slow worker known, whatever progress was reported last', true, {}, (run) => { run.progress.record(97, 6000) }],
  ['makes a slow worker known if no report has listed the run', true, {}, () => {}],
  ['is not compared if it has resumed from a checkpoint', false, { checkpoints: true }, ({ task }) => { task.checkpoint = 'a' }],
  ['is not compared if an earlier owner started the run', false, {}, (run) => { run.inherited = true }],
  ['is not compared if the task is best-effort', false, { bestEffort: true }, () => {}],
  ['is not compared if the task lasts', false, { lasting: true }, (run) => { run.progress.record(100, 6000) }]
])('the duration of a run %s', async (_, known, fields, prepare) => {
  const speeds = await runTasks(createStep({ count: 12, ...fields }), prepare)
  expect(speeds.slownessOf('slow') > 1.5).toBe(known)
})
