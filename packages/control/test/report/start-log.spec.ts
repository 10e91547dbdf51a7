import { describe, expect, it } from 'vitest'
import { Log } from '../../src/report/log.js'
import { StartLog } from '../../src/report/start-log.js'
import { FakeClock } from '../fakes.js'

class RecordingLog extends Log {
  readonly lines: Array<Record<string, unknown>> = []

  override decision (_: string, fields: Record<string, unknown>): void {
    this.lines.push(fields)
  }

  override event (): void {}
}

describe('the lines about starts', () => {
  it.each<[string, ReadonlyArray<readonly [string, number, number, string]>, object[]]>([
    ['name all tasks that start within a short time on their workers', [['a.0.0', 0, 1, 'w1'], ['a.0.0', 2, 1, 'w2'], ['a.0.0', 5, 1, 'w1']],
      [{ step: 'a.0.0', run: 1, workers: { w1: [0, 5], w2: [2] }, waitedMs: 10, spanMs: 20, journalMs: 9, reportAgeMs: 90 }]],
    ['are separate for each step and run number', [['a.0.0', 0, 1, 'w1'], ['a.0.0', 0, 2, 'w1'], ['a.0.1', 0, 1, 'w1']],
      [{ step: 'a.0.0', run: 1, spanMs: 0 }, { step: 'a.0.0', run: 2, spanMs: 0 }, { step: 'a.0.1', run: 1, spanMs: 0 }]]
  ])('%s', (_, starts, expected) => {
    const clock = new FakeClock()
    const log = new RecordingLog()
    const startLog = new StartLog(log, clock)
    for (const [index, [step, task, run, worker]] of starts.entries()) {
      if (index > 0) clock.advance(10)
      startLog.record({ step, task, run, worker, waitedMs: 10 + index, journalMs: 9 - index, reportAgeMs: 90 - index })
    }
    startLog.writeDue()
    expect(log.lines).toEqual([])
    clock.advance(250)
    startLog.writeDue()
    expect(log.lines).toMatchObject(expected)
    startLog.close()
    expect(log.lines).toHaveLength(expected.length)
  })

  it('are written when the owner closes', () => {
    const log = new RecordingLog()
    const startLog = new StartLog(log, new FakeClock())
    startLog.record({ step: 'a.0.0', task: 0, run: 1, worker: 'w1', waitedMs: 1, journalMs: 1, reportAgeMs: 1 })
    startLog.close()
    expect(log.lines).toHaveLength(1)
  })
})
