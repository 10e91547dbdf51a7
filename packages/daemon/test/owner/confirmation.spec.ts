import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { Clock } from '@fireflymount/service-clients/clock'
import { DEFAULT_TIMING } from '@fireflymount/manifest/settings-codec'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { Confirmation, type ConfirmationOptions } from '../../src/owner/confirmation.js'

const EPOCH = { counter: 2, node: 'n1' }
const { confirmationMs, leaseMs } = DEFAULT_TIMING
const START_MS = 100_000

class FakeClock extends Clock {
  ms = START_MS
  now (): number { return this.ms }
  wall (): number { return this.ms }
}

interface Harness {
  readonly clock: FakeClock
  readonly confirmation: Confirmation
  readonly written: string[][]
  /** Nodes that grant pledges. */
  readonly granting: Set<string>
  readonly terminated: Set<string>
  logConfirmedAtMs: number
}

function createHarness (fields: Partial<ConfirmationOptions> = {}): Harness {
  const clock = new FakeClock()
  const granting = new Set<string>()
  const terminated = new Set<string>()
  const written: string[][] = []
  const harness: Harness = {
    clock,
    granting,
    terminated,
    written,
    logConfirmedAtMs: START_MS,
    confirmation: new Confirmation({
      shard: 's',
      epoch: EPOCH,
      standbys: ['n2', 'n3'],
      formerStandbys: ['n2', 'n3'],
      provisional: false,
      first: false,
      timing: DEFAULT_TIMING,
      clock,
      members: { isTerminated: (node) => terminated.has(node) },
      journal: {
        confirmedAtMs: () => harness.logConfirmedAtMs,
        commit: (change) => {
          written.push((change as { names: string[] }).names)
          return Promise.resolve(ok(undefined))
        }
      },
      router: {
        askNode: (node) => Promise.resolve(granting.has(node)
          ? ok({ granted: true, epoch: EPOCH })
          : err(refuse(Reason.ConnectionLost, 'cut')))
      },
      ...fields
    })
  }
  return harness
}

test.each([
  { title: 'if no standby grants a pledge', granting: [], terminated: [], mayAct: false },
  { title: 'if one of two standbys grants pledges', granting: ['n3'], terminated: [], mayAct: true },
  { title: 'if all of its standbys are terminated', granting: [], terminated: ['n2', 'n3'], mayAct: false }
])('after more than confirmationMs without the log, $title, mayAct returns $mayAct', async ({ granting, terminated, mayAct }) => {
  const harness = createHarness()
  for (const node of granting) harness.granting.add(node)
  for (const node of terminated) harness.terminated.add(node)
  for (let elapsed = 0; elapsed <= 2 * confirmationMs; elapsed += 400) {
    harness.clock.ms = START_MS + elapsed
    await harness.confirmation.refresh()
  }
  expect(harness.confirmation.mayAct()).toBe(mayAct)
})

test('an owner whose claim the log has confirmed recently needs no pledge', async () => {
  const harness = createHarness()
  harness.clock.ms += 10 * confirmationMs
  expect(harness.confirmation.mayAct()).toBe(false)
  harness.logConfirmedAtMs = harness.clock.ms - confirmationMs + 1
  expect(harness.confirmation.mayAct()).toBe(true)
})

test.each([
  { title: 'unknown while a former standby may still confirm the former owner', fields: {}, granting: ['n2'], terminated: [], countedFromMs: undefined },
  { title: 'counted from the last grant of a former standby', fields: {}, granting: ['n2', 'n3'], terminated: [], countedFromMs: START_MS + 1000 },
  { title: 'counted from the last grant, without waiting for terminated standbys', fields: {}, granting: ['n2'], terminated: ['n3'], countedFromMs: START_MS + 1000 },
  { title: 'counted from the claim if there were no standbys', fields: { formerStandbys: [] }, granting: [], terminated: [], countedFromMs: START_MS },
  { title: 'unknown while the owner is provisional', fields: { provisional: true }, granting: ['n2', 'n3'], terminated: [], countedFromMs: undefined },
  { title: '-Infinity if the shard had no owner before', fields: { first: true }, granting: [], terminated: [], countedFromMs: -Infinity }
])('the time at which the leases of former owners have expired is $title', async ({ fields, granting, terminated, countedFromMs }) => {
  const harness = createHarness(fields)
  for (const node of granting) harness.granting.add(node)
  for (const node of terminated) harness.terminated.add(node)
  harness.clock.ms += 1000
  harness.logConfirmedAtMs = harness.clock.ms
  await harness.confirmation.refresh()
  const inheritedExpiryMs = harness.confirmation.inheritedExpiryMs()
  if (countedFromMs === undefined || countedFromMs === -Infinity) expect(inheritedExpiryMs).toBe(countedFromMs)
  else expect(inheritedExpiryMs).toBeGreaterThanOrEqual(countedFromMs + confirmationMs + leaseMs)
})

test('a standby that has not granted a pledge to this epoch is not dropped', async () => {
  const harness = createHarness()
  harness.granting.add('n2')
  await harness.confirmation.refresh()
  await harness.confirmation.setStandbys(['n4', 'n5'])
  harness.clock.ms += 5000
  harness.logConfirmedAtMs = harness.clock.ms
  await harness.confirmation.setStandbys(['n4', 'n5'])
  expect(harness.written).toEqual([['n4', 'n5', 'n3']])
  harness.terminated.add('n3')
  await harness.confirmation.setStandbys(['n4', 'n5'])
  expect(harness.written.at(-1)).toEqual(['n4', 'n5'])
})

// Guards against an owner that does not wait for a node which still confirms the predecessor of its predecessor.
test('a standby of the former owner that the claim lacks is written at once, unless it has granted a pledge or is terminated', async () => {
  const harness = createHarness({ standbys: ['n2'], formerStandbys: ['n2', 'n3', 'n4', 'n5'] })
  harness.granting.add('n3')
  harness.terminated.add('n4')
  await harness.confirmation.refresh()
  await harness.confirmation.setStandbys(['n2'])
  expect(harness.written).toEqual([['n2', 'n5']])
})

test('a short-lived change of the candidates is not written', async () => {
  const harness = createHarness()
  await harness.confirmation.setStandbys(['n4', 'n3'])
  harness.clock.ms += 500
  await harness.confirmation.setStandbys(['n2', 'n3'])
  harness.clock.ms += 5000
  await harness.confirmation.setStandbys(['n2', 'n3'])
  expect(harness.written).toEqual([])
})
