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
  ['passes if the condition holds', 'start 2 workers of bee in fukuoka rack r1\nexpect workers of bee quiet', /^$/],
  ['reports the line of a condition that does not hold', 'start 1 workers of bee in fukuoka rack r1\nexpect 1 of service x running', /^line 6: .*there are 0/],
  ['fails when the time of a condition has passed', 'within 200 ms expect 1 of service x running', /^line 5: Not within 200 ms/],
  ['fails when the limit of the scenario has passed', 'within 90000 ms expect 1 of service x running', /limit of 2500 ms/],
  ['reports an unknown process', 'kill f1', /no process for "named f1"/],
  ['reports an unknown fault', 'start 1 workers of bee in fukuoka rack r1\nfault workers of bee merry', /no fault "merry"/]
])('%s, and kills all its processes', async (_, steps, detail) => {
  const file = join(directory, 'case.scenario')
  writeFileSync(file, `scenario "x"\nseed 1\nlimit 2500 ms\nstart platform\n${steps}\n`)
  const result = await runScenario(file)
  expect(result.detail).toMatch(detail)
  expect(result.passed).toBe(result.detail === '')
  expect(countChildren()).toBe(0)
})
