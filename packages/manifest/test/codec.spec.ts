import { readFileSync } from 'node:fs'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { parseManifest, parseManifestText } from '@fireflymount/manifest/codec'
import { hashSecret } from '@fireflymount/manifest/hash'
import type { ManifestError } from '@fireflymount/manifest/validation-error'
import { createManifestSchema, createSettingsSchema } from '@fireflymount/manifest/schema'
import { parseSettings, parseSettingsText } from '@fireflymount/manifest/settings-codec'

function readSample (name: string): any {
  return JSON.parse(readFileSync(new URL(`../../../samples/${name}.json`, import.meta.url), 'utf8'))
}

function pathsOf (errors: readonly ManifestError[]): string[] {
  return errors.map((error) => error.path).sort()
}

test.each(['hakata', 'cooperative', 'cell'])('the sample manifest %s is valid, and its keys have secrets of the form "sample-<name>"', (name) => {
  const manifest = parseManifest(readSample(name))._unsafeUnwrap()
  expect(manifest.keys.length).toBeGreaterThan(4)
  for (const key of manifest.keys) expect(key.hash).toBe(hashSecret(`sample-${key.name}`))
})

const invalid: Array<[string, (manifest: any) => void, string[]]> = [
  ['an unknown field', (m) => { m.teams[0].quota = 3 }, ['$.teams[0].quota']],
  ['an unknown section', (m) => { m.jobs = [] }, ['$.jobs']],
  ['a missing field', (m) => { delete m.queues[0].capacity }, ['$.queues[0].capacity']],
  ['a number out of range', (m) => { m.queues[1].size.cpuMilli = -5 }, ['$.queues[1].size.cpuMilli']],
  ['a duplicate name', (m) => { m.workspaces.push({ name: 'visitors' }) }, ['$.workspaces[6].name']],
  ['a hash in upper case', (m) => { m.keys[0].hash = 'AB'.repeat(32) }, ['$.keys[0].hash']],
  ['a hash that two keys share', (m) => { m.keys[1].hash = m.keys[0].hash }, ['$.keys[1].hash']],
  ['a team whose workspace is not declared', (m) => { m.teams[0].workspace = 'nobody' }, ['$.teams[0].workspace']],
  ['a key whose team is not declared', (m) => { m.keys[0].team = 'nobody' }, ['$.keys[0].team']],
  ['a queue whose upstream and team are not declared', (m) => { m.queues[2].upstream = 'x'; m.queues[2].teams[1] = 'y' },
    ['$.queues[2].teams[1]', '$.queues[2].upstream']],
  ['a service whose team and upstream are not declared', (m) => { m.services[0].team = 'x'; m.services[0].upstream = 'y' },
    ['$.services[0].team', '$.services[0].upstream']],
  ['an objective whose queue is not declared', (m) => { m.objectives[0].queue = 'x' }, ['$.objectives[0].queue']],
  ['an objective on the waiting time without a maximum', (m) => { delete m.objectives[0].withinMs }, ['$.objectives[0].withinMs']],
  ['several attempts at work that is not idempotent', (m) => { m.queues[3].attempts = 2 }, ['$.queues[3].attempts']],
  ['weights that are all zero', (m) => { m.upstreams[0].weights = { waiting: 0, share: 0, packing: 0 } },
    ['$.upstreams[0].weights']],
  ['errors in three sections at once',
    (m) => { m.teams[0].share = 0; m.keys[0].team = 'x'; m.services[0].replicas = 1.5 },
    ['$.keys[0].team', '$.services[0].replicas', '$.teams[0].share']]
]

test.each(invalid)('%s is rejected with the path of the error and how to fix it', (_, invalidate, paths) => {
  const manifest = readSample('hakata')
  invalidate(manifest)
  const errors = parseManifest(manifest)._unsafeUnwrapErr()
  expect(pathsOf(errors)).toEqual(paths)
  for (const error of errors) expect(error.mend).not.toBe('')
})

test.each([
  ['{"teams": [}', 'line 1, column 12'],
  ['{\n  "teams": [],\n}', 'line 3, column 1'],
  ['', 'line 1, column 1'],
  ['{\n // no\n}', 'line 2, column 2']
])('the text %j is rejected with the position %s', (text, place) => {
  expect(parseManifestText(text)._unsafeUnwrapErr()[0]?.mistake).toContain(place)
})

test('any JSON value is accepted or rejected without an exception, and an accepted manifest is accepted again unchanged', () => {
  fc.assert(fc.property(fc.jsonValue(), (value) => {
    const result = parseManifest(value)
    if (result.isErr()) expect(result.error.length).toBeGreaterThan(0)
    else expect(parseManifest(result.value)._unsafeUnwrap()).toEqual(result.value)
  }))
})

describe('settings', () => {
  test('the sample is valid and is completed by the defaults', () => {
    const settings = parseSettings(readSample('settings'))._unsafeUnwrap()
    expect(settings.timing).toMatchObject({ heartbeatMs: 250, takeoverMs: 800, confirmationMs: 3000, commitMs: 20 })
    expect(settings.timing.drainMs).toBe(10_000)
    expect(settings.limits).toEqual({ bodyBytes: 1 << 20, headerBytes: 16 << 10, connections: 10_000, requests: 2000 })
  })

  test.each<[string, (settings: any) => void, string[]]>([
    ['a host name instead of an address', (s) => { s.api.host = 'localhost' }, ['$.api.host']],
    ['a port out of range', (s) => { s.peer.port = 70_000 }, ['$.peer.port']],
    ['an administration key that is not hashed', (s) => { s.administrators = ['secret'] }, ['$.administrators[0]']],
    ['an unknown field of the timing', (s) => { s.timing.leaseSeconds = 8 }, ['$.timing.leaseSeconds']],
    ['a lease that is shorter than its renewal interval', (s) => { s.timing = { renewMs: 9000 } }, ['$.timing.renewMs']],
    ['a platform address without scheme, and no zone', (s) => { s.platform.log = 'log:80'; delete s.zone }, ['$.platform.log', '$.zone']]
  ])('%s is rejected', (_, invalidate, paths) => {
    const settings = readSample('settings')
    invalidate(settings)
    expect(pathsOf(parseSettings(settings)._unsafeUnwrapErr())).toEqual(paths)
  })

  test('a syntax error is reported with its line', () => {
    expect(parseSettingsText('{\n"node" 3}')._unsafeUnwrapErr()[0]?.mistake).toContain('line 2')
  })
})

test.each([
  ['manifest', createManifestSchema],
  ['settings', createSettingsSchema]
])('the committed schema of the %s is up to date', async (name, create) => {
  await expect(create()).toMatchFileSnapshot(`../schema/${name}.schema.json`)
})
