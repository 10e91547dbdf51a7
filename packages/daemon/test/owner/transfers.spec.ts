import { err, ok, type Result } from 'neverthrow'
import { beforeEach, expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { JournalFailure, type JournalError } from '@fireflymount/service-clients/journal'
import { EMPTY_MANIFEST } from '@fireflymount/manifest/manifest'
import type { Scheduler } from '@fireflymount/policy/scheduler'
import { MessageKind, type Borrow, type Loan, type Request, type Transfer } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import type { Allotments } from '../../src/owner/allotments.js'
import { ChangeKind } from '../../src/owner/change.js'
import { ShardState } from '../../src/owner/state.js'
import { Transfers } from '../../src/owner/transfers.js'
import type { Router } from '../../src/peer/router.js'
import { FakeMetrics } from '../entry-fakes.js'

const AMOUNT = { tasks: 2, cpuMilli: 2000, memoryMb: 2000, accelerators: 0 }
const UNUSED = { tasks: 10, cpuMilli: 9000, memoryMb: 9000, accelerators: 0 }
const NONE = { tasks: 0, cpuMilli: 0, memoryMb: 0, accelerators: 0 }
const BORROW: Borrow = { kind: MessageKind.Borrow, from: 's', to: 't', team: 'guild', amount: AMOUNT }
const TRANSFER: Transfer = { kind: MessageKind.Transfer, id: '1', from: 't', to: 's', team: 'guild', amount: AMOUNT }
const LENT = { kind: ChangeKind.Lent, to: 't', team: 'guild', sequence: 1, amount: AMOUNT }

let log: unknown[]
let state: ShardState
let failure: JournalFailure | undefined
let isReceived: boolean
let asked: Request[]
let transfers: Transfers

beforeEach(() => {
  log = []
  state = new ShardState()
  failure = undefined
  isReceived = false
  asked = []
  transfers = new Transfers({
    shard: 's',
    scheduler: { allotmentShortages: () => [], usedBy: () => NONE } as unknown as Scheduler,
    journal: { available: () => true, commit },
    state,
    allotments: { allotment: () => UNUSED, quotas: () => [] } as unknown as Allotments,
    router: {
      askOwner: async (_: string, request: Request) => {
        asked.push(request)
        return isReceived ? ok({ id: '1' }) : err(refuse(Reason.LogUnavailable, 'The transfer was not written.'))
      }
    } as unknown as Router,
    manifest: () => EMPTY_MANIFEST,
    clock: new SystemClock(),
    metrics: new FakeMetrics(),
    unadoptedCapacity: () => NONE,
    onChange: () => {}
  })
})

async function commit (change: unknown): Promise<Result<void, JournalError>> {
  await Promise.resolve()
  if (failure !== undefined) return err({ failure, detail: '' })
  log.push(change)
  state.apply(change)
  return ok(undefined)
}

/** Returns the state of a successor, which has read what the log holds. */
function createSuccessor (): ShardState {
  const successor = new ShardState()
  for (const change of log) successor.apply(change)
  return successor
}

// Guards against an amount that two shards use after a takeover, or none: it was acknowledged without a record.
test.each<{ title: string, act: () => Promise<Result<Loan, Refusal>>, read: (successor: ShardState) => number | undefined }>([
  { title: 'given', act: () => transfers.give(BORROW), read: (successor) => successor.lent.get('t/guild') },
  { title: 'received', act: () => transfers.receive(TRANSFER), read: (successor) => successor.borrowed.get('t/guild') }
])('an amount is answered as $title only if a successor reads it, and a repeated request is not written again', async ({ act, read }) => {
  for (failure of [JournalFailure.Unavailable, JournalFailure.Unknown, JournalFailure.Overloaded, JournalFailure.Superseded]) {
    expect((await act()).isErr()).toBe(true)
    expect(read(createSuccessor())).toBeUndefined()
  }
  failure = undefined
  expect((await act())._unsafeUnwrap().id).toBe('1')
  expect(read(createSuccessor())).toBe(1)
  failure = JournalFailure.Unavailable
  expect((await act())._unsafeUnwrap().id).toBe('1')
  expect(log).toHaveLength(1)
})

test.each([
  { title: 'until its receiver has recorded it', received: false, failure: undefined, unsettled: 1 },
  { title: 'until its settlement is in the log', received: true, failure: JournalFailure.Unavailable, unsettled: 1 },
  { title: 'no longer than that', received: true, failure: undefined, unsettled: 0 }
])('a transfer stays unsettled, for a successor to send again, $title', async (row) => {
  await commit(LENT)
  isReceived = row.received
  failure = row.failure
  transfers.reconcile()
  await new Promise((resolve) => setTimeout(resolve, 10))
  expect([asked.length, createSuccessor().loans.size]).toEqual([1, row.unsettled])
})
