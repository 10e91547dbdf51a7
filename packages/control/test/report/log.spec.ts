import { mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { StandardLog } from '../../src/report/log.js'

let folder: string
beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'log-'))
  vi.useFakeTimers({ toFake: ['performance'] })
})
afterEach(() => {
  vi.useRealTimers()
  rmSync(folder, { recursive: true })
})

describe('the log', () => {
  it('limits the lines per second of each kind, and logs how many it dropped', () => {
    const file = join(folder, 'out')
    const log = new StandardLog('n1', 'info', openSync(file, 'w'))
    for (let line = 0; line < 1000; line++) log.decision('start', { line })
    for (let line = 0; line < 500; line++) log.event('worker adopted', { line })
    vi.advanceTimersByTime(1000)
    log.event('node stopped', {})
    log.close()
    const lines = readFileSync(file, 'utf8').trim().split('\n').map((line) => JSON.parse(line) as Record<string, unknown>)
    const count = (message: string): number => lines.filter((line) => line.msg === message).length
    expect([count('start'), count('worker adopted'), count('node stopped')]).toEqual([400, 400, 1])
    expect(lines.find((line) => line.msg === 'log lines dropped')).toMatchObject({ dropped: 700, node: 'n1' })
  })
})
