import { MessageKind, type DryRun } from '@fireflymount/protocol/message'
import { Reason } from '@fireflymount/protocol/refusal'
import type { DryRunReport } from '@fireflymount/protocol/dry-run'
import { afterEach, beforeEach, expect, it } from 'vitest'
import { Subject, decodeValue, splitKey, type OwnerClaim } from '../../src/journal/record.js'
import { Topic } from '../../src/ports/store.js'
import { Cluster, waitFor } from './cluster.js'

const NODES = ['n0', 'n1', 'n2'].map((name) => ({ name, callMs: 1 }))
const SIZE = { cpuMilli: 100, memoryMb: 100, accelerators: 0 }
const WORK: DryRun = { kind: MessageKind.DryRun, queue: 'preview', team: '', tasks: 1, runtimeMs: 10, size: SIZE }
const TIMEOUT_MS = 15_000

let cluster: Cluster
beforeEach(() => { cluster = new Cluster(2) })
afterEach(() => { cluster.close() })

function ownerName (): string | undefined {
  const claims = cluster.store.records[Topic.Journal].filter((record) => splitKey(record.key).subject === Subject.Owner)
  const value = claims.at(-1)?.value
  return value === undefined ? undefined : decodeValue<OwnerClaim>(value)._unsafeUnwrap().node
}

/** Asks a node until the owner has reached its workers, and returns the report. */
async function report (index: number): Promise<DryRunReport> {
  let found: DryRunReport | undefined
  const deadlineMs = performance.now() + TIMEOUT_MS
  while (found?.obstacle !== 'none' && performance.now() < deadlineMs) {
    found = (await cluster.nodes[index]!.explain(WORK)).unwrapOr(undefined) as DryRunReport | undefined
    await waitFor(() => false, 100)
  }
  return found!
}

// Guards against a node that answers from its own view: only the owner has sessions with workers.
it('every node gives the owner\'s report, and that of its successor after a takeover', async () => {
  await cluster.start(NODES)
  expect(await waitFor(() => ownerName() !== undefined, TIMEOUT_MS)).toBe(true)
  for (const index of NODES.keys()) expect(await report(index)).toMatchObject({ owner: ownerName(), obstacle: 'none', accepted: true })
  const first = ownerName()
  const left = NODES.findIndex(({ name }) => name === first)
  cluster.nodes[left]!.close()
  expect(await waitFor(() => ownerName() !== first, TIMEOUT_MS)).toBe(true)
  const other = [...NODES.keys()].find((index) => index !== left)!
  expect(await report(other)).toMatchObject({ owner: ownerName(), obstacle: 'none' })
  const records = cluster.store.records[Topic.Journal].filter((record) => splitKey(record.key).subject === Subject.Job)
  expect(records).toEqual([])
}, 60_000)

it('a node that knows no owner says so', async () => {
  await cluster.start([NODES[0]!])
  const answer = await cluster.nodes[0]!.explain(WORK)
  expect(answer._unsafeUnwrapErr()).toMatchObject({ reason: Reason.NoOwner, retryAfterMs: expect.any(Number) })
})
