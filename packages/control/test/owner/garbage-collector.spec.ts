import { err } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { JobEntry, JournalState } from '../../src/journal/journal-state.js'
import { Stage } from '../../src/journal/record.js'
import { Writer } from '../../src/journal/writer.js'
import { StoreAccess } from '../../src/membership/access.js'
import { GarbageCollector } from '../../src/owner/garbage-collector.js'
import { Ledger, chargeOf } from '../../src/owner/ledger.js'
import { MAX_UNCONFIRMED_OWNERSHIP_MS } from '../../src/owner/ownership.js'
import { Run, RunState } from '../../src/owner/run.js'
import { Session } from '../../src/owner/session.js'
import { StoreFailure } from '../../src/ports/store.js'
import { WorkerFailure } from '../../src/ports/fleet.js'
import { FakeClock, FakeFleet, FakeStore, createJob, createSessionHost, createWorker } from '../fakes.js'

const LEASE_MS = 6000
const TICK_MS = 50
/** The worker's clock when the owner reads its registry entry, and the rate at which it runs. */
const WORKER_CLOCK_MS = 5000
const CLOCK_RATE = 0.98

/** A worker that executes the owner's requests while its answers are lost; its runs end with the lease. */
class SilentWorker {
  deadlineMs = 0
  constructor (private readonly clock: FakeClock, private readonly sinceMs: number) {}

  clockMs (): number {
    return WORKER_CLOCK_MS + (this.clock.now() - this.sinceMs) * CLOCK_RATE
  }

  execute (deadlineMs: number | undefined): void {
    this.deadlineMs = Math.max(this.deadlineMs, deadlineMs ?? 0)
  }

  isRunning (): boolean {
    return this.clockMs() < this.deadlineMs
  }
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

describe('an inherited run on a worker that was never adopted', () => {
  // Guards against running work that is started again elsewhere because its worker was only silent: requests without an answer had
  // extended its lease beyond the time after which the run counted as lost.
  it.each([
    { says: 'whose answers are lost', executes: true },
    { says: 'that no request reaches', executes: false }
  ])('is lost once no lease can be left, on a worker $says', async ({ executes }) => {
    const clock = new FakeClock()
    const fleet = new FakeFleet()
    const ledger = new Ledger()
    const lostWhileRunning: boolean[] = []
    const claimedAt = clock.stamp()
    const worker = new SilentWorker(clock, clock.now())
    fleet.onReportRequest = async ({ deadlineMs }) => {
      if (executes) worker.execute(deadlineMs)
      return err(WorkerFailure.NoAnswer)
    }
    const host = createSessionHost({
      leaseMs: LEASE_MS,
      fleet,
      clock,
      onRunsLost: (_, runs) => {
        lostWhileRunning.push(worker.isRunning())
        for (const run of runs) ledger.remove(run)
      }
    })
    const session = new Session(createWorker({ clockMs: WORKER_CLOCK_MS }), host)
    const entry = new JobEntry(createJob())
    Object.assign(entry.task(0, 0, 0), { stage: Stage.Assigned, run: 1, worker: 'w1', born: 10 })
    const run = new Run(entry, entry.task(0, 0, 0), 1, session, chargeOf(entry.job.steps[0]!), '', clock.now())
    run.state = RunState.Uncertain
    run.inherited = true
    ledger.add(run)
    const store = new FakeStore()
    store.fault = () => StoreFailure.Refused
    const access = new StoreAccess(store, async () => err(StoreFailure.Refused), clock, () => {})
    const collector = new GarbageCollector({
      journalState: new JournalState(),
      sessions: new Map([[session.id, session]]),
      notBeforeMs: new Map(),
      writer: new Writer(access, clock, 3, 1, claimedAt, () => {}),
      clock,
      claimedAt,
      journalReadAt: () => clock.stamp(),
      settings: { leaseMs: LEASE_MS, keptMs: 120_000 },
      missingMs: () => 0,
      hasRuns: () => true,
      forgetJob: () => {}
    })
    const running = session.run()
    const startedMs = clock.now()
    while (lostWhileRunning.length === 0 && clock.now() - startedMs < 60_000) {
      clock.advance(TICK_MS)
      await vi.advanceTimersByTimeAsync(TICK_MS)
      collector.tick()
    }
    expect(lostWhileRunning).toEqual([false])
    // The time for which an earlier owner may act unconfirmed, its last lease on the slowest clock, and one second of margin.
    const lostMs = clock.now() - startedMs
    expect(lostMs).toBeGreaterThan(MAX_UNCONFIRMED_OWNERSHIP_MS + LEASE_MS)
    expect(lostMs).toBeLessThan(MAX_UNCONFIRMED_OWNERSHIP_MS + LEASE_MS / CLOCK_RATE + 1000)
    session.close()
    await vi.advanceTimersByTimeAsync(3000)
    await running
  })
})
