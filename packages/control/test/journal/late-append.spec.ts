import { err } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { JournalState } from '../../src/journal/journal-state.js'
import { Subject, encodeRecord } from '../../src/journal/record.js'
import { Writer } from '../../src/journal/writer.js'
import { StoreAccess } from '../../src/membership/access.js'
import { ClaimProof, Claimant } from '../../src/membership/claimant.js'
import { StoreFailure, Topic, type StoreCall } from '../../src/ports/store.js'
import { FakeClock, FakeStore } from '../fakes.js'

/** A store that, while `holding`, answers no call, and carries out each of them when a test lets it. */
class LateStore extends FakeStore {
  holding = false
  private held: StoreCall[] = []

  override async call (call: StoreCall): ReturnType<FakeStore['call']> {
    if (!this.holding) return await super.call(call)
    this.held.push(call)
    return err(StoreFailure.NoAnswer)
  }

  async carryOut (): Promise<void> {
    for (const call of this.held) await super.call(call)
  }
}

/** At least the interval at which an unavailable store is called. */
const PROBE_INTERVAL_MS = 1000

const clock = new FakeClock()
let store: LateStore
let access: StoreAccess
let claimant: Claimant
let stop: AbortController
beforeEach(() => {
  vi.useFakeTimers()
  store = new LateStore()
  access = createAccess()
  claimant = new Claimant(access, clock, 'a', 'first', 0)
  stop = new AbortController()
})
afterEach(() => {
  stop.abort()
  vi.useRealTimers()
})

/** Access of one process to the store. */
function createAccess (): StoreAccess {
  return new StoreAccess(store, async () => err(StoreFailure.NoAnswer), clock, () => {})
}

/** Claims the cell as another process. */
async function claimAs (incarnation: string, epoch: number): Promise<void> {
  expect(await new Claimant(createAccess(), clock, 'a', incarnation, 0).claim(epoch)).toBe(ClaimProof.Answered)
}

/** Ends the time in which calls are held. */
function answerAgain (): void {
  store.holding = false
  // From now on the store is probed.
  clock.advance(PROBE_INTERVAL_MS)
}

/** Starts the writer of an owner whose claim is held. */
function startWriter (epoch: number, sequence: number): Writer {
  const writer = new Writer(access, clock, epoch, sequence, clock.stamp(), () => {})
  writer.run(stop.signal).catch(() => {})
  return writer
}

async function commit (writer: Writer, name: string): Promise<void> {
  const committing = writer.commit(new Map([[name, () => encodeRecord(Subject.Done, name, 1)]]))
  while (!await Promise.race([committing.then(() => true), vi.advanceTimersByTimeAsync(30).then(() => false)])) clock.advance(30)
}

function owner (): string | undefined {
  const journalState = new JournalState()
  for (const record of store.records[Topic.Journal]) journalState.apply(record)
  return journalState.ownerClaim?.incarnation
}

describe('a claim that the store carries out late', () => {
  it.each<[string, string, () => Promise<void>]>([
    ['has the cell if nobody has claimed it since', 'first', async () => {}],
    ['changes nothing after another process has claimed the same epoch', 'other', async () => { await claimAs('other', 3) }],
    ['changes nothing after another owner has come and gone', 'other', async () => {
      await claimAs('other', 3)
      await claimAs('other', 4)
    }],
    ['changes nothing after the process has restarted and claimed again', 'second', async () => {
      await claimAs('second', 4)
    }],
    ['changes nothing after its repetition was answered', 'first', async () => { await claimant.claim(3) }],
    ['changes nothing after the appends of its owner', 'first', async () => {
      await claimant.claim(3)
      const writer = startWriter(3, claimant.take()!.sequence)
      for (let count = 0; count < 6; count++) await commit(writer, `${count}`)
    }]
  ])('%s', async (_, holder, meanwhile) => {
    store.holding = true
    expect(await claimant.claim(3)).toBe(StoreFailure.NoAnswer)
    answerAgain()
    await meanwhile()
    const { length } = store.records[Topic.Journal]
    await store.carryOut()
    expect([owner(), store.records[Topic.Journal].length]).toEqual([holder, Math.max(1, length)])
  })
})

describe('an append of an owner that the store carries out late', () => {
  it.each<[string, (writer: Writer) => Promise<void>, number]>([
    ['is written once if the owner has stopped meanwhile', async () => { stop.abort() }, 1],
    ['is not written after another process has claimed the cell', async () => { await claimAs('other', 4) }, 0],
    ['is written once although it was repeated', async (writer) => { await commit(writer, 'next') }, 1],
    ['is written once although it was repeated, and more was appended', async (writer) => {
      for (let count = 0; count < 6; count++) await commit(writer, `${count}`)
    }, 1]
  ])('%s', async (_, meanwhile, written) => {
    await claimant.claim(3)
    const writer = startWriter(3, claimant.take()!.sequence)
    store.holding = true
    writer.commit(new Map([['a', () => encodeRecord(Subject.Done, 'late', 1)]])).catch(() => {})
    await vi.advanceTimersByTimeAsync(100)
    answerAgain()
    await meanwhile(writer)
    await store.carryOut()
    expect(store.records[Topic.Journal].filter(({ key }) => key === 't/late').length).toBe(written)
  })
})
