import { err } from 'neverthrow'
import { beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { encodeJob } from '../../src/journal/record.js'
import { StoreAccess } from '../../src/membership/access.js'
import type { Configuration } from '../../src/model/configuration.js'
import { epochAfter } from '../../src/owner/fence.js'
import { Owner } from '../../src/owner/owner.js'
import { heldBytesOf } from '../../src/place/backlog.js'
import { StoreFailure } from '../../src/ports/store.js'
import { FakeFleet, FakeStore, createJob, createOwnerOptions, createQueue } from '../fakes.js'

vi.mock('../../src/place/backlog.js', async (importOriginal) => {
  const original = await importOriginal<typeof import('../../src/place/backlog.js')>()
  return { ...original, heldBytesOf: vi.fn(original.heldBytesOf) }
})

const CONFIGURATION: Configuration = {
  version: 1, queues: [createQueue()], upstreams: [], workspaces: [], limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 }
}

beforeEach(() => { vi.mocked(heldBytesOf).mockClear() })

describe('the size of a submitted job', () => {
  it.each([
    { outcome: 'accepted', heldBytes: 0, computations: 2 },
    { outcome: 'refused', heldBytes: Infinity, computations: 1 }
  ])('is computed once for the decision, and once for the record that is read: $outcome', async ({ heldBytes, computations }) => {
    const journalState = new JournalState()
    const clock = new SystemClock()
    const store = new StoreAccess(new FakeStore(), async () => err(StoreFailure.Refused), clock, () => {})
    const fleet = new FakeFleet()
    const options = { epoch: epochAfter(0), journalState, store, fleet, clock, configuration: () => CONFIGURATION }
    const owner = new Owner(createOwnerOptions(options))
    owner.run().catch((error: unknown) => { throw error })
    journalState.backlog.add('', heldBytes)
    const answer = await owner.admit(encodeJob(createJob({ workspace: '', acceptedMs: clock.wall() })), 500)
    owner.close()
    expect([answer.isOk(), vi.mocked(heldBytesOf).mock.calls.length]).toEqual([heldBytes === 0, computations])
  })
})
