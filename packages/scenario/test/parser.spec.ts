import { expect, test } from 'vitest'
import { parseScenario } from '@fireflymount/scenario/language/parser'
import { listScenarios } from '@fireflymount/scenario/run/batch'
import { readScenario } from '@fireflymount/scenario/run/runner'

const HEADER = 'scenario "x"\nseed 1\n'

test.each([
  ['starts workers with options', 'start 4 workers of bee in fukuoka rack r1 with slots 2 and cpu 500', {
    verb: 'start',
    role: 'worker',
    count: 4,
    name: 'bee',
    zone: 'fukuoka',
    rack: 'r1',
    options: [{ name: 'slots', value: 2 }, { name: 'cpu', value: 500 }]
  }],
  ['assigns an alias to the process of a target', 'freeze owner of bee as old', {
    verb: 'signal', signal: 'freeze', target: { kind: 'owner', name: 'bee' }, alias: 'old'
  }],
  ['silences the link to the platform', 'silence f1 and platform', {
    verb: 'link', link: 'silence', left: { kind: 'named', name: 'f1' }, right: { kind: 'named', name: 'platform' }
  }],
  ['accepts keywords as names', 'cancel job key', { verb: 'cancel', name: 'key' }],
  ['submits jobs with queue, team, run time, node and expected outcomes', 'submit 3 jobs j to render as guild runs 50 ms at f1 expect accepted or refused', {
    verb: 'submit',
    count: 3,
    name: 'j',
    queue: 'render',
    team: 'guild',
    runMs: 50,
    fails: false,
    at: { kind: 'named', name: 'f1' },
    expected: ['accepted', 'refused']
  }],
  ['expects a condition within a time', 'within 1700 ms expect at most 2 jobs j running', {
    verb: 'expect',
    withinMs: 1700,
    condition: { subject: 'job', name: 'j', states: ['running'], count: 2, comparison: 'at-most' }
  }],
  ['expects a condition throughout a time', 'for 500 ms expect owner of bee is not f1', {
    verb: 'expect',
    forMs: 500,
    condition: { subject: 'owner', name: 'bee', states: [], negated: true, target: { kind: 'named', name: 'f1' } }
  }],
  ['runs steps concurrently', 'race grant key k to guild and log outage', {
    verb: 'race',
    steps: [
      { line: 3, action: { verb: 'key', granted: true, key: 'k', team: 'guild' } },
      { line: 3, action: { verb: 'log', fault: 'outage', amount: 0 } }
    ]
  }]
])('%s', (_, line, action) => {
  const scenario = parseScenario(`${HEADER}${line}\n`)._unsafeUnwrap()
  expect(scenario.steps).toEqual([{ line: 3, action }])
})

test.each([
  ['an unknown step', `${HEADER}\nexplode f1\n`, 4, 1],
  ['a missing seed', 'scenario "x"\nstart platform\n', 2, 1],
  ['a duration without its unit', `${HEADER}within 100 expect log clean\n`, 3, 12],
  ['an unexpected character', `${HEADER}stop f1 !\n`, 3, 9],
  ['an incomplete step', `${HEADER}cut f1 and`, 3, 8]
])('reports %s with line and column', (_, text, line, column) => {
  const errors = parseScenario(text)._unsafeUnwrapErr()
  expect(errors[0]).toMatchObject({ line, column })
})

test.each(listScenarios().map((file) => [file.split('/').at(-1), file]))('parses %s', (_, file) => {
  expect(readScenario(file!).steps.length).toBeGreaterThan(0)
})
