import { describe, expect, it } from 'vitest'
import { RunOutcome } from '../../src/model/worker.js'
import { JobStatistics, type FinishedRun } from '../../src/report/job-statistics.js'

const FIRST = 'aa.0.0'
const SECOND = 'aa.0.1'

function run (task: string, ranMs: number | undefined, ending = RunOutcome.Done): FinishedRun {
  return { task, worker: `worker of ${task}`, ending, ranMs }
}

describe('the statistics of a job', () => {
  it.each<[string, string[], Array<[string, FinishedRun]>, object]>([
    ['is empty without runs', [], [], { starts: 0, ends: {} }],
    ['counts starts and ends by ending', [FIRST, FIRST, FIRST],
      [[FIRST, run('aa.0.0.0', 5)], [FIRST, run('aa.0.0.1', 3, RunOutcome.Failed)], [FIRST, run('aa.0.0.1', 4)]],
      { starts: 3, ends: { done: 2, failed: 1 }, slowest: 'aa.0.0.0', slowestWorker: 'worker of aa.0.0.0', slowestMs: 5 }],
    ['does not contain another step', [FIRST, SECOND],
      [[FIRST, run('aa.0.0.0', 5)], [SECOND, run('aa.0.1.0', 9)]],
      { starts: 1, ends: { done: 1 }, slowest: 'aa.0.0.0', slowestWorker: 'worker of aa.0.0.0', slowestMs: 5 }],
    ['names no slowest task if no start is known', [], [[FIRST, run('aa.0.0.0', undefined)]], { starts: 0, ends: { done: 1 } }]
  ])('for one step %s', (_, starts, ends, expected) => {
    const statistics = new JobStatistics()
    for (const step of starts) statistics.recordStart(step)
    for (const [step, ended] of ends) statistics.recordEnd(step, ended)
    expect({ ...statistics.endStep(FIRST) }).toEqual(expected)
  })

  it('for the job include steps that have ended, and are forgotten with it', () => {
    const statistics = new JobStatistics()
    for (const step of [FIRST, SECOND]) {
      statistics.recordStart(step)
      statistics.recordEnd(step, run(`${step}.0`, 7))
      statistics.endStep(step)
    }
    expect(statistics.endJob('aa')).toMatchObject({ starts: 2, ends: { done: 2 }, slowestMs: 7 })
    expect({ ...statistics.endJob('aa') }).toEqual({ starts: 0, ends: {} })
  })
})
