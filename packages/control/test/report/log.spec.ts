import { mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { StandardLog } from '../../src/report/log.js'

let folder: string
beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'log-')) })
afterEach(() => { rmSync(folder, { recursive: true }) })

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

describe('the log', () => {
  it('bounds its lines a second by kind, and tells how many it dropped', async () => {
    const file = join(folder, 'out')
    const log = new StandardLog('n1', 'info', openSync(file, 'w'))
    for (let line = 0; line < 1000; line++) log.decision('start', { line })
    for (let line = 0; line < 500; line++) log.event('worker adopted', { line })
    await sleep(1050)
    log.event('node stopped', {})
    await sleep(50)
    log.close()
    const lines = readFileSync(file, 'utf8').trim().split('\n').map((line) => JSON.parse(line) as Record<string, unknown>)
    const count = (message: string): number => lines.filter((line) => line.msg === message).length
    expect([count('start'), count('worker adopted'), count('node stopped')]).toEqual([400, 400, 1])
    expect(lines.find((line) => line.msg === 'log lines dropped')).toMatchObject({ dropped: 700, node: 'n1' })
  })
})
