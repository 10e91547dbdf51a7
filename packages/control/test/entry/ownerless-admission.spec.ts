import { Execution, Reason, type Refusal } from '@fireflymount/protocol/refusal'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { SystemClock } from '../../src/clock.js'
import { OwnerlessAdmission } from '../../src/entry/ownerless-admission.js'
import { JournalState } from '../../src/journal/journal-state.js'
import { Subject, encodeJob, encodeRecord } from '../../src/journal/record.js'
import type { Job } from '../../src/model/job.js'
import { backlogBoundOf, heldBytesOf } from '../../src/place/backlog.js'
import type { StoredRecord } from '../../src/ports/store.js'
import { createJob, createStep } from '../fakes.js'

const NODES = 43
const MEMORY_MB = 210
const BOUND = backlogBoundOf(MEMORY_MB)
/** Time of one read or append. */
const STORE_MS = 4
const LARGE = 5000

/** The nodes of a cell without an owner. Each reads the journal only when a job asks for it. */
class Cell {
  readonly journal: StoredRecord[] = []
  readonly nodes: Array<{ readonly state: JournalState, readonly admission: OwnerlessAdmission }> = []
  storeMs = STORE_MS
  private readonly clock = new SystemClock()

  constructor () {
    for (let index = 0; index < NODES; index++) {
      const address = { node: `n${index}`, incarnation: '1', host: '10.0.0.1', port: 7000, zone: 'z', memoryMb: MEMORY_MB }
      this.append(encodeRecord(Subject.Node, `n${index}`, address))
    }
    for (let index = 0; index < NODES; index++) this.nodes.push(this.createNode())
  }

  /** Submits a job at one node, which appends it if it is admitted. */
  async submit (node: number, tasks: number, id = node): Promise<Refusal | undefined> {
    const { state, admission } = this.nodes[node]!
    const job = jobOf(id, tasks)
    const refusal = await admission.reserve(job)
    if (refusal !== undefined) return refusal
    await this.delay()
    this.append(encodeJob(job))
    state.apply(this.journal.at(-1)!)
  }

  private createNode (): Cell['nodes'][number] {
    const state = new JournalState(() => {}, () => undefined, () => 20)
    for (const record of this.journal) state.apply(record)
    let freshAt = this.clock.stamp()
    const catchUp = async (): Promise<void> => {
      const sentAt = this.clock.stamp()
      await this.delay()
      for (const record of this.journal) state.apply(record)
      freshAt = sentAt
    }
    const options = { journalState: () => state, catchUp, journalFreshAt: () => freshAt, clock: this.clock }
    return { state, admission: new OwnerlessAdmission(options) }
  }

  private append (record: { key: string, value: Buffer | undefined }): void {
    this.journal.push({ ...record, offset: this.journal.length })
  }

  private async delay (): Promise<void> {
    await new Promise((resolve) => { setTimeout(resolve, this.storeMs) })
  }

  /** Bytes that the jobs of the journal count. */
  heldBytes (): number {
    const state = new JournalState()
    for (const record of this.journal) state.apply(record)
    return state.backlog.totalBytes
  }
}

function jobOf (id: number, tasks: number): Job {
  return createJob({ id: id.toString(16).padStart(16, '0'), workspace: 'a', steps: [createStep({ count: tasks })] })
}

async function settle<T> (answer: Promise<T>): Promise<T> {
  await vi.advanceTimersByTimeAsync(3000)
  return await answer
}

let cell: Cell
beforeEach(() => {
  vi.useFakeTimers()
  cell = new Cell()
})
afterEach(() => { vi.useRealTimers() })

describe('a job while no owner is reached', () => {
  // Guards against a cell that refuses large jobs although it is empty, only because it has many nodes.
  it.each([{ tasks: 1 }, { tasks: 700 }, { tasks: LARGE }, { tasks: 80_000 }])('of $tasks tasks is accepted in calm', async ({ tasks }) => {
    expect(await settle(cell.submit(0, tasks))).toBeUndefined()
    expect(cell.nodes[0]!.state.backlog.totalBytes).toBe(heldBytesOf(jobOf(0, tasks)))
  })

  it('is refused at once if it fits into no room', async () => {
    const refusal = await cell.submit(0, 90_000)
    expect([refusal?.reason, refusal?.execution]).toEqual([Reason.TooLarge, Execution.NotRun])
  })

  it('is refused while another large one waits on the same node, unless it is small', async () => {
    const answers = await settle(Promise.all([cell.submit(0, LARGE, 1), cell.submit(0, LARGE, 2), cell.submit(0, 1, 3)]))
    expect(answers.map((refusal) => refusal?.reason)).toEqual([undefined, Reason.LimitReached, undefined])
    expect([answers[1]?.execution, answers[1]?.retryAfterMs]).toEqual([Execution.NotRun, 1000])
  })

  it('is refused, to return soon, if it is large and the journal cannot be read fast enough', async () => {
    cell.storeMs = 2000
    const refusal = await settle(cell.submit(0, LARGE))
    expect([refusal?.reason, refusal?.execution, refusal?.retryAfterMs]).toEqual([Reason.LogUnavailable, Execution.NotRun, 1000])
  })

  it('is accepted at all nodes at once hardly beyond the bound', async () => {
    let seed = 1
    vi.spyOn(Math, 'random').mockImplementation(() => (seed = (16_807 * seed) % 2_147_483_647) / 2_147_483_647)
    const answers = await settle(Promise.all(cell.nodes.map(async (_, node) => await cell.submit(node, 8 * LARGE))))
    expect(answers.filter((refusal) => refusal === undefined).length).toBeGreaterThan(0)
    expect(cell.heldBytes()).toBeLessThanOrEqual(1.5 * BOUND)
  })
})
