import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { countChildren } from '@fireflymount/scenario/cell/child'
import { runScenario } from '@fireflymount/scenario/run/runner'

let directory: string

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'fireflymount-runner-'))
})

afterEach(() => {
  rmSync(directory, { recursive: true, force: true })
})

test.each([
  ['passes what is so', 'start 2 workers of bee in fukuoka rack r1\nexpect workers of bee quiet', /^$/],
  ['names the line of what is not so', 'start 1 workers of bee in fukuoka rack r1\nexpect 1 of service x running', /^line 6: .*there are 0/],
  ['gives up at a deadline', 'within 200 ms expect 1 of service x running', /^line 5: Not within 200 ms/],
  ['gives up at the limit of the scenario', 'within 90000 ms expect 1 of service x running', /limit of 2500 ms/],
  ['says that a process is unknown', 'kill f1', /no process for "named f1"/],
  ['says that a fault is unknown', 'start 1 workers of bee in fukuoka rack r1\nfault workers of bee merry', /no fault "merry"/]
])('%s, and leaves no process behind', async (_, steps, detail) => {
  const file = join(directory, 'case.scenario')
  writeFileSync(file, `scenario "x"\nseed 1\nlimit 2500 ms\nstart platform\n${steps}\n`)
  const verdict = await runScenario(file)
  expect(verdict.detail).toMatch(detail)
  expect(verdict.passed).toBe(verdict.detail === '')
  expect(countChildren()).toBe(0)
})
