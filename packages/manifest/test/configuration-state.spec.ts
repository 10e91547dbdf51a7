import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { Change } from '@fireflymount/manifest/delta'
import { diffManifests } from '@fireflymount/manifest/diff'
import { ConfigurationState, NO_REVISION } from '@fireflymount/manifest/configuration-state'
import { EMPTY_MANIFEST, Section } from '@fireflymount/manifest/manifest'
import { Outcome } from '@fireflymount/manifest/delta-result'

function putWorkspace (name: string): Change {
  return { section: Section.Workspaces, name, value: { name } }
}

function putTeam (name: string, workspace: string, share = 1): Change {
  return { section: Section.Teams, name, value: { name, workspace, share, upperLimit: {} } }
}

function putKey (name: string, team: string, digit: string): Change {
  return { section: Section.Keys, name, value: { name, team, hash: digit.repeat(64) } }
}

function remove (section: Section, name: string): Change {
  return { section, name }
}

interface Step { base: number, changes: Change[], publish?: string }

const initial: Step = { base: NO_REVISION, changes: [putWorkspace('w'), putTeam('t', 'w'), putKey('k', 't', 'a')] }

const cases: Array<[string, Step[], Outcome[]]> = [
  ['of two concurrent first publications that change the same object, the later one conflicts',
    [{ base: NO_REVISION, changes: [putWorkspace('w')] }, { base: NO_REVISION, changes: [putWorkspace('w')] }],
    [Outcome.Accepted, Outcome.Conflict]],
  ['publications that change different objects both take effect',
    [{ base: NO_REVISION, changes: [putWorkspace('v')] }, { base: NO_REVISION, changes: [putWorkspace('w')] }],
    [Outcome.Accepted, Outcome.Accepted]],
  ['a change based on the newest revision takes effect, and one based on an older revision conflicts',
    [initial, { base: 0, changes: [putTeam('t', 'w', 5)] }, { base: 0, changes: [putTeam('t', 'w', 6)] }],
    [Outcome.Accepted, Outcome.Accepted, Outcome.Conflict]],
  ['a change of an object that was removed concurrently conflicts',
    [initial, { base: 0, changes: [remove(Section.Keys, 'k')] }, { base: 0, changes: [putKey('k', 't', 'b')] }],
    [Outcome.Accepted, Outcome.Accepted, Outcome.Conflict]],
  ['a publication that creates an object conflicts if the object was created and removed since its base revision',
    [{ base: NO_REVISION, changes: [putWorkspace('w')] }, { base: 0, changes: [remove(Section.Workspaces, 'w')] },
      { base: NO_REVISION, changes: [putWorkspace('w')] }],
    [Outcome.Accepted, Outcome.Accepted, Outcome.Conflict]],
  ['the removal of an object that others refer to is invalid, unless the same delta removes those',
    [initial, { base: 0, changes: [remove(Section.Teams, 't')] },
      { base: 0, changes: [remove(Section.Teams, 't'), remove(Section.Keys, 'k')] }],
    [Outcome.Accepted, Outcome.Invalid, Outcome.Accepted]],
  ['a reference to an object that another publication removed is invalid',
    [initial, { base: 0, changes: [remove(Section.Keys, 'k')] }, { base: 1, changes: [remove(Section.Teams, 't')] },
      { base: 1, changes: [putKey('l', 't', 'b')] }],
    [Outcome.Accepted, Outcome.Accepted, Outcome.Accepted, Outcome.Invalid]],
  ['a hash can move from one key to another only within one delta',
    [initial, { base: 0, changes: [putKey('l', 't', 'a')] },
      { base: 0, changes: [remove(Section.Keys, 'k'), putKey('l', 't', 'a')] }],
    [Outcome.Accepted, Outcome.Invalid, Outcome.Accepted]],
  ['a publish id has one outcome: a repeated publication is rejected again even if it would be valid now',
    [{ publish: 'p', base: NO_REVISION, changes: [putTeam('t', 'w')] }, { base: NO_REVISION, changes: [putWorkspace('w')] },
      { publish: 'p', base: NO_REVISION, changes: [putTeam('t', 'w')] }],
    [Outcome.Invalid, Outcome.Accepted, Outcome.Invalid]],
  ['a base that does not exist yet is invalid', [{ base: 7, changes: [putWorkspace('w')] }], [Outcome.Invalid]],
  ['the removal of an unknown object is invalid', [{ base: NO_REVISION, changes: [remove(Section.Teams, 't')] }], [Outcome.Invalid]]
]

test.each(cases)('%s', (_, steps, outcomes) => {
  const state = new ConfigurationState()
  const results = steps.map((step, offset) => state.apply({ publish: `p${offset}`, ...step }, offset))
  expect(results.map((result) => result.outcome)).toEqual(outcomes)
  expect(state.revision()).toBe(outcomes.lastIndexOf(Outcome.Accepted))
})

test('a record that is not a delta is rejected and changes nothing', () => {
  const state = new ConfigurationState()
  expect(state.apply({ publish: 3 }, 0).errors.map((error) => error.path)).toEqual(['$.publish', '$.base', '$.changes'])
  expect(state.revision()).toBe(NO_REVISION)
})

test('errors of single objects are reported with their paths, before references are validated', () => {
  const result = new ConfigurationState().preview({ publish: 'p', base: NO_REVISION, changes: [putTeam('t', 'w', -1), putTeam('u', 'w')] })
  expect(result.errors.map((error) => error.path)).toEqual(['$.changes[0].value.share'])
})

const name = fc.constantFrom('a', 'b', 'c')
const change = fc.oneof(
  name.map(putWorkspace),
  fc.tuple(name, name).map(([team, workspace]) => putTeam(team, workspace)),
  fc.tuple(name, name, fc.constantFrom('1', '2', '3')).map(([key, team, digit]) => putKey(key, team, digit)),
  fc.tuple(fc.constantFrom(Section.Workspaces, Section.Teams, Section.Keys), name).map(([section, each]) => remove(section, each))
)
const step = fc.record({ lag: fc.nat(3), publish: fc.nat(30), changes: fc.array(change, { minLength: 1, maxLength: 4 }) })

test('a configuration state restored from a snapshot applies further deltas like the original, and the configuration is always valid', () => {
  fc.assert(fc.property(fc.array(step, { maxLength: 30 }), fc.nat(30), (steps, restoreAt) => {
    const original = new ConfigurationState()
    let restored = new ConfigurationState()
    for (const [offset, { lag, publish, changes }] of steps.entries()) {
      const delta = { publish: `p${publish}`, base: Math.max(NO_REVISION, original.revision() - lag), changes }
      if (offset === restoreAt) {
        restored = new ConfigurationState()
        restored.restore(JSON.parse(JSON.stringify(original.snapshot())))
      }
      expect(restored.apply(delta, offset)).toEqual(original.apply(delta, offset))
      const manifest = original.manifest()
      const workspaces = new Set(manifest.workspaces.map((each) => each.name))
      const teams = new Set(manifest.teams.map((each) => each.name))
      expect(manifest.teams.every((team) => workspaces.has(team.workspace))).toBe(true)
      expect(manifest.keys.every((key) => teams.has(key.team))).toBe(true)
      expect(new Set(manifest.keys.map((key) => key.hash)).size).toBe(manifest.keys.length)
    }
    expect(restored.manifest()).toEqual(original.manifest())
  }))
})

test('the difference of two manifests, applied to the first, results in the second', () => {
  const before = new ConfigurationState()
  before.apply({ publish: 'p', ...initial }, 0)
  const desired = new ConfigurationState()
  desired.apply({ publish: 'p', base: NO_REVISION, changes: [putWorkspace('w'), putTeam('t', 'w', 9), putTeam('u', 'w')] }, 0)
  const changes = diffManifests(before.manifest(), desired.manifest())
  expect(changes.map((each) => [each.section, each.name, each.value === undefined]))
    .toEqual([[Section.Teams, 't', false], [Section.Teams, 'u', false], [Section.Keys, 'k', true]])
  before.apply({ publish: 'q', base: 0, changes }, 1)
  expect(before.manifest()).toEqual(desired.manifest())
  expect(diffManifests(before.manifest(), EMPTY_MANIFEST)).toHaveLength(3)
})
