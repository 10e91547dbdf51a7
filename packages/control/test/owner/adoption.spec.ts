import { err, ok } from 'neverthrow'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { JobEntry } from '../../src/journal/journal-state.js'
import { Adoption, MAX_PENDING_ADOPTIONS } from '../../src/owner/adoption.js'
import { chargeOf } from '../../src/owner/ledger.js'
import { Run } from '../../src/owner/run.js'
import { Session } from '../../src/owner/session.js'
import { WorkerFailure } from '../../src/ports/fleet.js'
import { FakeClock, FakeFleet, createJob, createSessionHost, createWorker } from '../fakes.js'

const WORKERS = 245

/** Counts the first report requests in flight, and how many sessions were started. */
class CountingFleet extends FakeFleet {
  readonly asked: string[] = []
  inFlight = 0
  maxInFlight = 0

  override async requestReport (...[worker]: Parameters<FakeFleet['requestReport']>): ReturnType<FakeFleet['requestReport']> {
    if (this.asked.includes(worker.id)) return await new Promise(() => {})
    this.asked.push(worker.id)
    this.maxInFlight = Math.max(this.maxInFlight, ++this.inFlight)
    const report = await this.onReportRequest({ fence: 1, acknowledged: 0, deadlineMs: 0, waitMs: 0 })
    this.inFlight--
    return report
  }
}

let fleet: CountingFleet
let adoption: Adoption
let sessions: Session[]
beforeEach(() => {
  vi.useFakeTimers()
  fleet = new CountingFleet()
  adoption = new Adoption()
  sessions = []
})
afterEach(() => {
  for (const session of sessions) session.close()
  vi.useRealTimers()
})

function createSession (id: string): Session {
  const host = createSessionHost({ fleet, clock: new FakeClock() })
  const session = new Session(createWorker({ id }), host)
  sessions.push(session)
  return session
}

function addRun (session: Session): void {
  const entry = new JobEntry(createJob())
  session.addRun(new Run(entry, entry.task(0, 0, 0), 1, session, chargeOf(entry.job.steps[0]!), '', 0))
}

describe('the adoption of workers', () => {
  // Guards against the incident of the saturated owner: all report requests at once delayed heartbeats and connections.
  it('asks workers in small groups, those with runs first', async () => {
    fleet.onReportRequest = async () => {
      await new Promise((resolve) => setTimeout(resolve, 5))
      return ok({ born: 10, clockMs: 6000, running: [], ended: [] })
    }
    for (let index = 0; index < WORKERS; index++) adoption.add(createSession(`idle${index}`))
    const busy = [createSession('busy0'), createSession('busy1')]
    for (const session of busy) {
      addRun(session)
      adoption.add(session)
    }
    await vi.advanceTimersByTimeAsync(0)
    expect(fleet.asked.slice(0, 3)).toEqual(['busy0', 'busy1', 'idle0'])
    await vi.advanceTimersByTimeAsync(500)
    expect([fleet.asked.length, fleet.maxInFlight]).toEqual([WORKERS + 2, MAX_PENDING_ADOPTIONS])
  })

  it.each([
    ['do not answer', async () => await new Promise<never>(() => {}), 250],
    ['fail', async () => err(WorkerFailure.NoAnswer), 50]
  ])('goes on when workers %s', async (_, onReportRequest, withinMs) => {
    fleet.onReportRequest = onReportRequest
    for (let index = 0; index < 3 * MAX_PENDING_ADOPTIONS; index++) adoption.add(createSession(`w${index}`))
    await vi.advanceTimersByTimeAsync(withinMs)
    expect(fleet.asked).toHaveLength(3 * MAX_PENDING_ADOPTIONS)
  })

  it('does not ask a worker whose session was closed', async () => {
    const session = createSession('w0')
    adoption.add(session)
    session.close()
    await vi.advanceTimersByTimeAsync(10)
    expect(fleet.asked).toEqual([])
  })
})
