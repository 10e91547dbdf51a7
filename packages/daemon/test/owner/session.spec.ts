import { err, ok, type Result } from 'neverthrow'
import { afterEach, expect, test } from 'vitest'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { VmRole, VmState } from '@fireflymount/service-clients/vm-list'
import { Worker, WorkerFailure, type WorkerError, type WorkerReport } from '@fireflymount/service-clients/worker'
import { DEFAULT_TIMING } from '@fireflymount/manifest/settings-codec'
import { Session, type SessionOptions } from '../../src/owner/session.js'

const EPOCH = { counter: 2, node: 'n1' }
const TIMING = { ...DEFAULT_TIMING, leaseMs: 200, renewMs: 20 }
/** The worker's clock is ahead of the clock of this process by this offset. */
const OFFSET_MS = 1_000_000
const sessions: Session[] = []

/** A worker whose answers the test controls. */
class FakeWorker extends Worker {
  boot = 'b1'
  down = false
  stale = false
  readonly leaseDurationsMs: number[] = []
  adoptions = 0

  adopt (): Promise<Result<WorkerReport, WorkerError>> {
    if (!this.down && !this.stale) this.adoptions++
    return this.answer(0)
  }

  renew (_: unknown, untilMs: number, __: unknown, waitMs: number): Promise<Result<WorkerReport, WorkerError>> {
    this.leaseDurationsMs.push(untilMs - OFFSET_MS - performance.now())
    return this.answer(waitMs)
  }

  start (): Promise<Result<void, WorkerError>> { return Promise.resolve(ok(undefined)) }
  stop (): Promise<Result<void, WorkerError>> { return Promise.resolve(ok(undefined)) }
  throttle (): Promise<Result<void, WorkerError>> { return Promise.resolve(ok(undefined)) }
  request (): Promise<Result<unknown, WorkerError>> { return Promise.resolve(ok(null)) }
  close (): Promise<void> { return Promise.resolve() }

  private async answer (waitMs: number): Promise<Result<WorkerReport, WorkerError>> {
    await new Promise((resolve) => setTimeout(resolve, waitMs))
    if (this.stale) return err({ failure: WorkerFailure.StaleEpoch, detail: '', epoch: { counter: 3, node: 'n2' } })
    if (this.down) return err({ failure: WorkerFailure.Unknown, detail: '' })
    return ok({ boot: this.boot, clockMs: performance.now() + OFFSET_MS, tasks: [] })
  }
}

interface Seen {
  adopted: number
  unreachable: number
  expiredAtMs: number | undefined
  stale: number
}

function open (worker: FakeWorker, fields: Partial<SessionOptions> = {}): { session: Session, seen: Seen } {
  const seen: Seen = { adopted: 0, unreachable: 0, expiredAtMs: undefined, stale: 0 }
  const session = new Session({
    vm: { id: 'w1', role: VmRole.Worker, state: VmState.Live, address: '', zone: 'z', rack: 'r' },
    worker,
    epoch: EPOCH,
    clock: new SystemClock(),
    timing: TIMING,
    confirmed: () => true,
    inheritedExpiryMs: () => -Infinity,
    isTerminated: () => false,
    events: {
      onAdopted: () => { seen.adopted++ },
      onReport: () => true,
      onUnreachable: () => { seen.unreachable++ },
      onExpired: () => { seen.expiredAtMs = performance.now() },
      onStale: () => { seen.stale++ }
    },
    ...fields
  })
  sessions.push(session)
  session.run().catch(() => {})
  return { session, seen }
}

afterEach(() => {
  for (const session of sessions.splice(0)) session.close()
})

test('a lease never extends beyond its duration from the time of sending', async () => {
  const worker = new FakeWorker()
  open(worker)
  await expect.poll(() => worker.leaseDurationsMs.length).toBeGreaterThan(5)
  for (const durationMs of worker.leaseDurationsMs) expect(durationMs).toBeLessThanOrEqual(TIMING.leaseMs)
})

test('the leases of a worker that does not answer expire after their duration, and not earlier', async () => {
  const worker = new FakeWorker()
  const { seen } = open(worker)
  await expect.poll(() => worker.leaseDurationsMs.length).toBeGreaterThan(2)
  worker.down = true
  const downMs = performance.now()
  await expect.poll(() => seen.expiredAtMs, { timeout: 5000 }).toBeDefined()
  expect(seen.unreachable).toBe(1)
  expect(seen.expiredAtMs! - downMs).toBeGreaterThanOrEqual(TIMING.leaseMs)
})

test.each<{ title: string, inheritedExpiryMs: () => number | undefined, isTerminated: () => boolean, expired: boolean }>([
  { title: 'while a former owner may renew them', inheritedExpiryMs: () => undefined, isTerminated: () => false, expired: false },
  { title: 'before the leases of former owners have expired', inheritedExpiryMs: () => Infinity, isTerminated: () => false, expired: false },
  { title: 'when the VM counts as terminated', inheritedExpiryMs: () => undefined, isTerminated: () => true, expired: true }
])('$title, the leases of a worker that was never reached count as expired: $expired', async ({ inheritedExpiryMs, isTerminated, expired }) => {
  const worker = new FakeWorker()
  worker.down = true
  const { seen } = open(worker, { inheritedExpiryMs, isTerminated })
  await new Promise((resolve) => setTimeout(resolve, 300))
  expect(seen.expiredAtMs !== undefined).toBe(expired)
})

test('an owner that is not confirmed neither adopts nor renews', async () => {
  const worker = new FakeWorker()
  let confirmed = false
  open(worker, { confirmed: () => confirmed })
  await new Promise((resolve) => setTimeout(resolve, 150))
  expect(worker.adoptions).toBe(0)
  confirmed = true
  await expect.poll(() => worker.leaseDurationsMs.length).toBeGreaterThan(2)
  confirmed = false
  await new Promise((resolve) => setTimeout(resolve, 2 * TIMING.renewMs))
  const sent = worker.leaseDurationsMs.length
  await new Promise((resolve) => setTimeout(resolve, 5 * TIMING.renewMs))
  expect(worker.leaseDurationsMs.length).toBe(sent)
})

// Guards against a task that runs twice: its run was recorded as lost while the lease that a former owner had granted was in force.
test('the leases of an adopted worker do not count as expired before they can be, although its owner has not renewed them', async () => {
  const worker = new FakeWorker()
  let confirmed = true
  const { session, seen } = open(worker, {
    confirmed: () => confirmed,
    events: {
      onAdopted: () => { confirmed = false },
      onReport: () => true,
      onUnreachable: () => {},
      onExpired: () => { seen.expiredAtMs = performance.now() },
      onStale: () => {}
    }
  })
  await expect.poll(() => session.adopted, { interval: 1 }).toBe(true)
  const adoptedMs = performance.now()
  await expect.poll(() => seen.expiredAtMs, { timeout: 5000 }).toBeDefined()
  expect(worker.leaseDurationsMs).toEqual([])
  expect(seen.expiredAtMs! - adoptedMs).toBeGreaterThanOrEqual(TIMING.leaseMs)
})

test('a worker that restarted is adopted again', async () => {
  const worker = new FakeWorker()
  const { session, seen } = open(worker)
  await expect.poll(() => session.boot).toBe('b1')
  worker.boot = 'b2'
  await expect.poll(() => session.boot).toBe('b2')
  expect(seen.adopted).toBe(2)
})

test('a worker that has accepted a newer epoch is not adopted, and the session reports the epoch', async () => {
  const worker = new FakeWorker()
  worker.stale = true
  const { seen } = open(worker)
  await expect.poll(() => seen.stale).toBeGreaterThan(0)
  expect(seen.adopted).toBe(0)
})

test('a worker with an unresolved command is adopted again once the lease of the command has ended', async () => {
  const worker = new FakeWorker()
  const { session, seen } = open(worker)
  await expect.poll(() => seen.adopted).toBe(1)
  const untilMs = session.leaseUntilMs()
  session.readoptAfter(untilMs)
  await expect.poll(() => seen.adopted, { timeout: 3000 }).toBe(2)
  expect(session.isPast(untilMs)).toBe(true)
})
