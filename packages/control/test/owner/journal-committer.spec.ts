import { err } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { encodeJob, Stage } from '../../src/journal/record.js'
import { JobEntry } from '../../src/journal/journal-state.js'
import { MAX_APPEND_BYTES, Writer } from '../../src/journal/writer.js'
import { StoreAccess } from '../../src/membership/access.js'
import { Phase } from '../../src/model/job.js'
import { RunOutcome } from '../../src/model/worker.js'
import { JournalCommitter } from '../../src/owner/journal-committer.js'
import { applyRunEnd } from '../../src/owner/run-end.js'
import { StoreFailure, Topic, type KeyedRecord, type StoreCall } from '../../src/ports/store.js'
import { newestOf, stateOf } from '../journal/steady-cell.js'
import { FakeStore, createJob, createStep } from '../fakes.js'

const ID = '00000000000000aa'
const OTHER_ID = '00000000000000bb'

/** A job of two tasks whose changes are committed. */
class Harness {
  readonly store = new FakeStore()
  readonly stop = new AbortController()
  readonly entry = new JobEntry(createJob({ id: ID, steps: [createStep({ count: 2 })] }))
  readonly committer: JournalCommitter
  /** Results of the commits, in order. */
  readonly commits: Array<Promise<boolean>> = []
  /** What callers were shown while a successor would have read something else. */
  readonly unfounded: Phase[] = []

  constructor () {
    const clock = new SystemClock()
    const access = new StoreAccess(this.store, async () => err(StoreFailure.Refused), clock, () => {})
    const writer = new Writer(access, clock, 1, 5, clock.stamp(), () => {})
    writer.run(this.stop.signal).catch((error: unknown) => { throw error })
    this.committer = new JournalCommitter(writer)
    this.store.put(Topic.Journal, encodeJob(this.entry.job))
  }

  assign (): void {
    for (const index of [0, 1]) {
      const task = this.entry.task(0, 0, index)
      Object.assign(task, { stage: Stage.Assigned, run: 1, worker: 'w1', born: 10 })
      this.entry.markChanged(task)
    }
    this.entry.phase = Phase.Active
    this.commit()
  }

  end (index: number): void {
    applyRunEnd(this.entry, this.entry.task(0, 0, index), { run: 1, ending: RunOutcome.Done, checkpoint: '' }, 3, 1000)
    this.commit()
  }

  /** Commits a record that does not fit into one append with others. */
  commitLarge (): void {
    const payload = 'x'.repeat(MAX_APPEND_BYTES)
    this.commits.push(this.committer.appendRecords([encodeJob(createJob({ id: OTHER_ID, payload }))], 60_000).then(() => true))
  }

  refuse (refuses: (records: readonly KeyedRecord[]) => boolean, failure = StoreFailure.Refused): void {
    this.store.fault = (call: StoreCall) => 'append' in call && refuses(call.append.records) ? failure : undefined
  }

  /** Lets time pass and notes each phase that is shown before it is in the journal. */
  async advance (ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 5) {
      await vi.advanceTimersByTimeAsync(5)
      const shown = this.entry.visiblePhase()
      const stored = stateOf(newestOf(this.store.records[Topic.Journal])).jobs.get(ID)!.visiblePhase()
      const isEarlier = shown === Phase.Pending || (shown === Phase.Active && stored === Phase.Completed)
      if (shown !== stored && !isEarlier) this.unfounded.push(shown)
    }
  }

  private commit (): void {
    this.commits.push(this.committer.commitJobs([this.entry]))
  }
}

let harness: Harness
beforeEach(() => {
  vi.useFakeTimers()
  harness = new Harness()
})
afterEach(async () => {
  harness.stop.abort()
  await vi.advanceTimersByTimeAsync(20_000)
  vi.useRealTimers()
})

describe('the phase that callers see', () => {
  // Guards against a job that is shown as completed on the strength of the owner's memory.
  it.each<{ says: string, play: () => Promise<void> }>([
    {
      says: 'commits are merged into one append',
      play: async () => {
        harness.assign()
        harness.end(0)
        harness.end(1)
      }
    },
    {
      says: 'a refused append is repeated with newer content',
      play: async () => {
        harness.refuse(() => true)
        harness.assign()
        await harness.advance(200)
        harness.end(0)
        harness.end(1)
        await harness.advance(200)
        harness.refuse(() => false)
      }
    },
    {
      says: 'the answer of an append is lost and the next one is refused',
      play: async () => {
        harness.store.loseAnswers = true
        harness.refuse(() => true, StoreFailure.NoAnswer)
        harness.assign()
        harness.end(0)
        await harness.advance(200)
        harness.end(1)
        harness.refuse((records) => records.some(({ key }) => key === `p/${ID}`))
        harness.store.loseAnswers = false
        await harness.advance(1000)
        harness.refuse(() => false)
      }
    },
    {
      says: 'only the later part of a split append is refused',
      play: async () => {
        harness.assign()
        await harness.advance(100)
        harness.refuse((records) => records.some(({ key }) => key.includes(OTHER_ID)))
        harness.commitLarge()
        harness.end(0)
        harness.end(1)
        await harness.advance(500)
        expect(stateOf(newestOf(harness.store.records[Topic.Journal])).jobs.get(ID)?.visiblePhase()).toBe(Phase.Completed)
        harness.refuse(() => false)
      }
    },
    {
      says: 'only the first part of a split append is refused',
      play: async () => {
        harness.assign()
        await harness.advance(100)
        harness.refuse((records) => records.some(({ key }) => key === `p/${ID}`))
        harness.commitLarge()
        harness.end(0)
        harness.end(1)
        await harness.advance(500)
        harness.refuse(() => false)
      }
    }
  ])('is in the journal when $says', async ({ play }) => {
    await play()
    await harness.advance(1500)
    expect(await Promise.all(harness.commits)).not.toContain(false)
    expect([harness.unfounded, harness.entry.visiblePhase()]).toEqual([[], Phase.Completed])
  })

  it('stays that of the journal when a commit is abandoned', async () => {
    harness.assign()
    await harness.advance(100)
    harness.refuse(() => true)
    harness.end(0)
    harness.end(1)
    await harness.advance(200)
    harness.stop.abort()
    await harness.advance(1500)
    expect(await Promise.all(harness.commits)).toEqual([true, false, false])
    expect([harness.unfounded, harness.entry.visiblePhase()]).toEqual([[], Phase.Active])
  })

  // Guards against a job that is shown as completed although its end was never handed to the writer, because the handling of its last
  // run's end failed, while an earlier change of the job was still waiting for the store.
  it('is not that of an end that was not committed', async () => {
    harness.refuse(() => true)
    harness.assign()
    await harness.advance(100)
    for (const index of [0, 1]) {
      applyRunEnd(harness.entry, harness.entry.task(0, 0, index), { run: 1, ending: RunOutcome.Done, checkpoint: '' }, 3, 1000)
    }
    harness.refuse(() => false)
    await harness.advance(2000)
    expect([harness.unfounded, harness.entry.visiblePhase()]).toEqual([[], Phase.Active])
  })
})
