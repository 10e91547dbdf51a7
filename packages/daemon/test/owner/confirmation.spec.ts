import { err, ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { Clock } from '@fireflymount/platform/clock'
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

interface Bench {
  readonly clock: FakeClock
  readonly confirmation: Confirmation
  readonly written: string[][]
  /** Nodes that grant pledges. */
  readonly granting: Set<string>
  readonly gone: Set<string>
  log: number
}

function createBench (fields: Partial<ConfirmationOptions> = {}): Bench {
  const clock = new FakeClock()
  const granting = new Set<string>()
  const gone = new Set<string>()
  const written: string[][] = []
  const bench: Bench = {
    clock,
    granting,
    gone,
    written,
    log: START_MS,
    confirmation: new Confirmation({
      shard: 's',
      epoch: EPOCH,
      standbys: ['n2', 'n3'],
      former: ['n2', 'n3'],
      provisional: false,
      first: false,
      timing: DEFAULT_TIMING,
      clock,
      members: { isTerminated: (node) => gone.has(node) },
      journal: {
        confirmedAtMs: () => bench.log,
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
  return bench
}

test.each([
  { says: 'neither the log nor a standby', granting: [], gone: [], holds: false },
  { says: 'one standby of two', granting: ['n3'], gone: [], holds: true },
  { says: 'no standby, although all are terminated', granting: [], gone: ['n2', 'n3'], holds: false }
])('an owner that is confirmed by $says for longer than the bound may act: $holds', async ({ granting, gone, holds }) => {
  const bench = createBench()
  for (const node of granting) bench.granting.add(node)
  for (const node of gone) bench.gone.add(node)
  for (let elapsed = 0; elapsed <= 2 * confirmationMs; elapsed += 400) {
    bench.clock.ms = START_MS + elapsed
    await bench.confirmation.refresh()
  }
  expect(bench.confirmation.mayAct()).toBe(holds)
})

test('an owner whose claim the log has confirmed recently needs no pledge', async () => {
  const bench = createBench()
  bench.clock.ms += 10 * confirmationMs
  expect(bench.confirmation.mayAct()).toBe(false)
  bench.log = bench.clock.ms - confirmationMs + 1
  expect(bench.confirmation.mayAct()).toBe(true)
})

test.each([
  { says: 'not while a former standby may still confirm the former owner', fields: {}, granting: ['n2'], gone: [], expires: undefined },
  { says: 'one confirmation and one lease duration after the last grant', fields: {}, granting: ['n2', 'n3'], gone: [], expires: START_MS + 1000 },
  { says: 'without the grants of terminated standbys', fields: {}, granting: ['n2'], gone: ['n3'], expires: START_MS + 1000 },
  { says: 'counted from the claim, if there were no standbys', fields: { former: [] }, granting: [], gone: [], expires: START_MS },
  { says: 'not while the claim is not in the log', fields: { provisional: true }, granting: ['n2', 'n3'], gone: [], expires: undefined },
  { says: 'at once, if the shard had no owner before', fields: { first: true }, granting: [], gone: [], expires: -Infinity }
])('former leases expire: $says', async ({ fields, granting, gone, expires }) => {
  const bench = createBench(fields)
  for (const node of granting) bench.granting.add(node)
  for (const node of gone) bench.gone.add(node)
  bench.clock.ms += 1000
  bench.log = bench.clock.ms
  await bench.confirmation.refresh()
  const inheritedExpiryMs = bench.confirmation.inheritedExpiryMs()
  if (expires === undefined || expires === -Infinity) expect(inheritedExpiryMs).toBe(expires)
  else expect(inheritedExpiryMs).toBeGreaterThanOrEqual(expires + confirmationMs + leaseMs)
})

test('a standby that may still act on an older claim is not dropped', async () => {
  const bench = createBench()
  bench.granting.add('n2')
  await bench.confirmation.refresh()
  await bench.confirmation.setStandbys(['n4', 'n5'])
  bench.clock.ms += 5000
  bench.log = bench.clock.ms
  await bench.confirmation.setStandbys(['n4', 'n5'])
  expect(bench.written).toEqual([['n4', 'n5', 'n3']])
  bench.gone.add('n3')
  await bench.confirmation.setStandbys(['n4', 'n5'])
  expect(bench.written.at(-1)).toEqual(['n4', 'n5'])
})

test('a short-lived change of the candidates is not written', async () => {
  const bench = createBench()
  await bench.confirmation.setStandbys(['n4', 'n3'])
  bench.clock.ms += 500
  await bench.confirmation.setStandbys(['n2', 'n3'])
  bench.clock.ms += 5000
  await bench.confirmation.setStandbys(['n2', 'n3'])
  expect(bench.written).toEqual([])
})
